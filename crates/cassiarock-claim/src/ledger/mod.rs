//! An agent's record of what it started: each guarded task begins here at most once.

mod book;
mod fence;
mod handover;
mod record;
mod slots;

pub use book::{Ledger, StartDecision};
pub use fence::{AcceptedFence, CancelDecision};
