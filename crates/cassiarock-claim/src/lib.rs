//! The at-most-once protocol: claims, start ledgers and take-over, without I/O or clock.
//!
//! An entry that wants to run a job claims it at the job's keeper, an agent that the
//! membership (a view) and the job's id determine. Ballots order the attempts to run one
//! job. An entry that can't rely on a first grant gathers: it fences every agent that may
//! have run tasks of the job, and each one then rejects lower ballots and reports what its
//! ledger says was started.
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
