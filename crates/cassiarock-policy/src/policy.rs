//! The placement policies that can be chosen.

use serde::{Deserialize, Serialize};

/// How waiting tasks are bound to upstreams. Entries and agents of a pool use the same
/// one; while a change of the settings spreads, an agent serves every kind of start.
///
/// ```
/// use cassiarock_policy::PlacementPolicy;
/// assert_eq!(PlacementPolicy::default(), PlacementPolicy::Credits);
/// assert_eq!(PlacementPolicy::ALL.len(), 4);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Each task goes to an upstream drawn at random and queues there.
    Random,
    /// Each task goes to the less loaded of two random upstreams, by the load last
    /// heard, and queues there.
    TwoChoices,
    /// Entries reserve places at several random upstreams and bind a task only when an
    /// upstream has a slot for it.
    Probes,
    /// Tasks wait at the entry; upstreams hand their free slots to entries as credits,
    /// mostly on the outcomes that travel anyway.
    #[default]
    Credits,
}

impl PlacementPolicy {
    /// All kinds, in the order in which reports list them.
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

    /// Whether a start that finds no free slot waits in the upstream's own queue.
    #[must_use]
    pub const fn queues_at_upstream(self) -> bool {
        matches!(self, Self::Random | Self::TwoChoices)
    }
}
