//! The cost of placing a task on an agent, for uneven upstreams: of several speeds, with or without
//! the data of the task, more or less full, and failing more or less often.

use crate::scheduler::agent::Agent;
use crate::{Resources, Stage};

/// The factor by which tasks run longer away from the rack of their data, unless the settings name
/// another.
pub(super) const REMOTE_DATA_FACTOR: f64 = 1.5;

/// How much slower a full upstream counts than an empty one. This leaves room on each, so that
/// entries that place at the same time seldom choose the same room.
const FULLNESS_PENALTY: f64 = 0.3;

/// The expected run time on the agent relative to the median upstream, plus penalties for a full
/// or failing upstream. Away from the rack of their data, tasks take `remote_factor` times as long.
pub(super) fn cost(
    stage: &Stage,
    agent: &Agent,
    pace: f64,
    remote_factor: f64,
    random: f64,
) -> f64 {
    let has_data = stage.rack.as_ref().is_none_or(|rack| agent.has_label(rack));
    let remote = if has_data { 1.0 } else { remote_factor };
    let free = free_share(agent.free(), &agent.capacity());
    let failing = f64::from(agent.load.failure_percent) / 100.0;
    pace * remote * (1.0 + FULLNESS_PENALTY * (1.0 - free) + random) + failing
}

fn free_share(free: &Resources, capacity: &Resources) -> f64 {
    free.cpu as f64 / capacity.cpu.max(1) as f64
}
