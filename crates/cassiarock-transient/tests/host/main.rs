//! What an agent does with its upstream.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod lifecycle;
mod orders;
mod polls;
mod restarts;
mod room;
mod shrink;
mod world;
