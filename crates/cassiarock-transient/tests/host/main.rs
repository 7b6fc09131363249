//! Tests of the agent's host: tasks on its upstream, leases, incarnations and offers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod deregistration;
mod harness;
mod lifecycle;
mod notices;
mod orders;
mod plausibility;
mod polls;
mod random_messages;
mod renewals;
mod restarts;
mod room;
mod shrink;
mod verification;
