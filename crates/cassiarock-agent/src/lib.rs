//! The agent process: guards one upstream, owns its slots, keeps the start ledger and claims.

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
