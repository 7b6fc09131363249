//! On which agents tasks are placed.

mod ask;
pub(super) mod choose;
mod cost;
mod kind;
mod place;
pub(super) mod placement_rate;
pub(super) mod run_time;
pub(super) mod tenure;
mod uneven;
pub(super) mod upstream_kinds;
