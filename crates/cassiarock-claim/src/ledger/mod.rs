//! An agent's start ledger: the record by which each claimed task begins there at most once.

mod fence;
mod handover;
mod lifecycle;
mod record;
mod tasks;

pub use fence::{AcceptedFence, CancelDecision};
pub use lifecycle::{Ledger, StartDecision};
