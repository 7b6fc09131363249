//! The callers' API over HTTP.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod body;
mod reply;
mod server;
mod shutdown;
mod submission;
mod support;
