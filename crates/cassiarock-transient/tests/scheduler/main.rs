//! What callers get of an entry's decisions.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod answers;
mod ask;
mod burst;
mod crashes;
mod losses;
mod order;
mod reserve;
mod world;
