//! The agent process: protects one upstream, owns its slots, and keeps the start ledger and
//! the claims.

mod actor;
mod announce;
mod error;
mod health;
mod leave;
mod run;
mod state;
mod work;

pub use error::Error;
pub use run::Running;
