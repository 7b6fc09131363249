//! Tests of the scheduler of an entry against simulated agents.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod admission;
mod answers;
mod ask;
mod burst;
mod crashes;
mod harness;
mod losses;
mod order;
mod reserve;
mod shares;
mod shutdown;
