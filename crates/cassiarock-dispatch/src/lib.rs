//! The entry and the agent for transient jobs on the users' platform: actors, links, listeners.

mod agent;
mod directory;
mod entry;
mod error;
mod follow;
mod learned;
mod line;
mod links;
mod mesh;
mod operator;
mod orders;
mod packed;
mod reload;
mod run;

pub use error::Error;
pub use run::{run_agent, run_entry};
