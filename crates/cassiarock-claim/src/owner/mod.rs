//! An entry's attempt to own one job: claim it, take it over, start it whole, close it.

mod asking;
mod event;
mod gather;
mod machine;
mod running;
mod seal;
mod task;

pub use event::{Action, Event, FailureReason, JobOutcome};
pub use machine::Owner;
