//! The agent's client of its upstream: connections, health and the worker's HTTP protocol.

mod error;
mod exchange;
mod outcome;
mod protocol;
mod run;
mod worker;
mod worker_health;

pub use error::Error;
pub use outcome::Outcome;
pub use protocol::{Health, Usage};
pub use run::Run;
pub use worker::UpstreamClient;
pub use worker_health::WorkerHealth;
