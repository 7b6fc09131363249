//! A stand-in for the platform's store, spoken to over HTTP: a log of topics.
//!
//! `POST /v1/log-append` adds records, each behind its length, all or nothing, on a condition
//! (`at`) or in a producer's sequence. `GET /v1/log-read` gives records, waiting for a first
//! one, and 410 where they have been deleted. `GET /v1/log-newest` gives the newest record of
//! each key of a topic named `keyed.`, which stays when the history goes.

mod fault;
mod partition;
mod server;
mod stand;
mod store;

pub use fault::Fault;
pub use stand::{Door, Handle, Stand};

/// The topic that the product's own records lie on; one partition.
pub const TOPIC: &str = "cassiarock";
