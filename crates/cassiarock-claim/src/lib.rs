//! The at-most-once protocol: claims, start ledgers and take-over, without I/O or clock.
//!
//! `docs/AT-MOST-ONCE.md` gives the protocol and why each step holds.

mod ballot;
mod guard;
pub mod keeper;
pub mod ledger;
mod limit;
pub mod message;
pub mod owner;
pub mod view;

pub use ballot::Ballot;
pub use limit::RetentionLimit;
