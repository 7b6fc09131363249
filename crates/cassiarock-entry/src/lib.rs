//! The entry process: caller API, rules, admission, placement and whole answers.

mod actor;
mod error;
mod explain;
mod remove;
mod run;
mod state;

pub use error::Error;
pub use run::{Addresses, Running};
