//! The settings between the two measures.

use serde::{Deserialize, Serialize};

/// What the placement spends on finding a slot sooner.
///
/// ```
/// use cassiarock_policy::{PlacementPolicy, Objective, place, slot};
/// let entry = place::Settings::new(PlacementPolicy::Credits).with_objective(Objective::Response);
/// let agent = slot::Settings::new(8).with_objective(Objective::Response);
/// assert!(entry.reach > 0);
/// assert!(agent.slack < slot::Settings::new(8).slack);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Few messages: a task that finds no open slot waits at one upstream.
    #[default]
    Messages,
    /// Short response: the tasks of small jobs, and the last ones of large jobs, ask
    /// several upstreams and take the first slot.
    Response,
}
