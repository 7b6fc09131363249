//! What placement optimizes for.

use serde::{Deserialize, Serialize};

/// Whether placement sends few messages or starts tasks sooner.
///
/// ```
/// use cassiarock_policy::{Objective, PlacementPolicy, place, slot};
/// let entry = place::Settings::new(PlacementPolicy::Credits).with_objective(Objective::Response);
/// let agent = slot::Settings::new(8).with_objective(Objective::Response);
/// assert!(entry.demands_per_task > 0);
/// assert!(agent.slack < slot::Settings::new(8).slack);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Few messages: a task that finds no open slot waits at one upstream.
    #[default]
    Messages,
    /// Short response times: for the tasks of small jobs, and the last ones of large jobs,
    /// several upstreams are asked for a slot, and the first to grant one gets the task.
    Response,
}
