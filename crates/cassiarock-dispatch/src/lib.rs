//! Runs the entry and the agent for transient jobs on the users' platform, with their actors,
//! links and listeners.

mod agent;
mod compression;
mod decision_log;
mod directory;
mod entry;
mod error;
mod follow;
mod freshness;
mod learned;
mod links;
mod mesh;
mod missing;
mod operator;
mod orders;
mod reload;
mod route_table;
mod run;

pub use error::Error;
pub use run::{run_agent, run_entry};
