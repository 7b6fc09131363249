//! The operators' client: rules, configuration, drain, status, explain, why, simulate, submit.
//!
//! [`Command`] is the parsed command line, [`run`] executes it.

mod command;
mod document;
mod error;
mod exit;
mod http;
mod program;
mod progress;
mod report;
mod run;
mod table;
mod why;

pub use command::{
    Action, Check, Command, Config, Drain, Explain, Restore, Role, Rules, Simulate, Submit, Why,
};
pub use error::Error;
pub use exit::Exit;
pub use program::main;
pub use report::Report;
pub use run::{execute, run};
pub use table::Table;
pub use why::{LogLine, RequestTrace};
