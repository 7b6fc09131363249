//! The decisions under load: admit, queue, place, shift, refuse, retry.
//!
//! Pure logic: state and event in, actions out. Nothing here does I/O, reads a clock or
//! starts a thread; `now` is the time since the process started and is an argument.

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
