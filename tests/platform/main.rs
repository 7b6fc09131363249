//! The daemon on stand-ins of the users' platform, as separate processes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod bad_input;
mod configuration;
mod configuration_record;
mod configuration_soak;
mod directory;
mod evacuation;
mod explain;
mod failures;
mod false_reports;
mod job;
mod leaving;
mod links;
mod site;
mod soak;
mod store_path;
