//! What an agent does with its upstream.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod births;
mod lives;
mod orders;
mod polls;
mod room;
mod shrink;
mod world;
