//! The available placement policies.

use serde::{Deserialize, Serialize};

/// How waiting tasks are assigned to upstreams. All entries and agents of a pool use the same
/// policy; while a change of the setting is rolled out, agents accept starts under any policy.
///
/// ```
/// use cassiarock_policy::PlacementPolicy;
/// assert_eq!(PlacementPolicy::default(), PlacementPolicy::Credits);
/// assert_eq!(PlacementPolicy::ALL.len(), 4);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Each task goes to a random upstream and queues there.
    Random,
    /// Each task goes to the less loaded of two random upstreams, by their last load reports,
    /// and queues there.
    TwoChoices,
    /// Entries demand slots of several random upstreams and send a task only when an upstream
    /// has granted a slot for it.
    Probes,
    /// Tasks wait at the entry. Upstreams grant their free slots to entries as credits, mostly
    /// on outcome frames, which are sent anyway.
    #[default]
    Credits,
}

impl PlacementPolicy {
    /// All policies, in the order in which reports list them.
    pub const ALL: [Self; 4] = [Self::Random, Self::TwoChoices, Self::Probes, Self::Credits];

    /// The name used in settings and reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::TwoChoices => "two_choices",
            Self::Probes => "probes",
            Self::Credits => "credits",
        }
    }

    /// Whether a task that finds no free slot waits in the upstream's own queue.
    #[must_use]
    pub const fn queues_at_upstream(self) -> bool {
        matches!(self, Self::Random | Self::TwoChoices)
    }
}
