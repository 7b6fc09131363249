//! An entry's attempt to own one job: claim it or take it over, place its tasks, close it.

mod claiming;
mod event;
mod gather;
mod running;
mod seal;
mod state_machine;
mod task;

pub use event::{Action, Event, FailureReason, JobOutcome};
pub use state_machine::Owner;
