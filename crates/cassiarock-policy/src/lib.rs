//! Scheduling decisions under load: admission, queueing, placement, fault detection and
//! retries.
//!
//! The logic is pure: events change state and return actions. Nothing here does I/O, reads a
//! clock or starts a thread. `now` is an argument and is the time since the process started.

pub mod admission;
pub mod dispatch;
mod due;
pub mod health;
pub mod load;
mod objective;
pub mod place;
mod policy;
pub mod retry;
pub mod size;
pub mod slot;

pub use due::Due;
pub use objective::Objective;
pub use policy::PlacementPolicy;
