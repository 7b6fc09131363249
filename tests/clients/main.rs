//! Clients that don't behave, against the daemon's own processes: bodies that never end, bodies in the
//! smallest pieces, more connections than the process may have. What is checked does not depend
//! on the speed of the machine: the process lives, its memory and descriptors stay within the
//! bounds that its settings name, and an ordinary job is run.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod callers;
mod check;
mod crowd;
mod links;
mod monitors;
mod own;
mod reports;
mod soak;
mod upstreams;

#[allow(dead_code, reason = "shared with the tests of the platform")]
#[path = "../platform/site.rs"]
mod site;

#[allow(dead_code, reason = "shared with the tests of failures")]
#[path = "../failures/node.rs"]
mod node;
