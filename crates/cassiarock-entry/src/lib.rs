//! The entry process: caller API, rules, admission, placement and complete answers.

mod actor;
mod error;
mod explain;
mod remove;
mod run;
mod state;

pub use error::Error;
pub use run::{Addresses, Running};
