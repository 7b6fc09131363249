//! The settings of placement.

use crate::{Objective, PlacementPolicy};
use cassiarock_id::Name;
use std::time::Duration;

/// How a [`super::Placer`] decides.
///
/// ```
/// use cassiarock_policy::{PlacementPolicy, place::Settings};
/// let settings = Settings::new(PlacementPolicy::Credits).with_reach(2);
/// assert_eq!(settings.reach, 2);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The policy.
    pub kind: PlacementPolicy,
    /// At how many upstreams a task asks for a slot that finds none open. More of them
    /// find one sooner; each costs a frame, and perhaps a grant that comes too late.
    pub reach: u16,
    /// A job with at most this many waiting tasks asks for slots rather than wait at one
    /// upstream, if none is open.
    pub few: usize,
    /// How many tasks may be bound beyond the free slots of one upstream, ahead of the
    /// slots' becoming free. Tasks that are due later do not count against it.
    pub ahead: u16,
    /// How many tasks may be bound to one upstream in all, for the kinds that queue
    /// there: its slots and its queue.
    pub bound: u16,
    /// How long the load heard from an upstream counts. Older news are as good as none:
    /// most tasks end within a second, so that the slots have changed hands since.
    pub stale: Duration,
    /// How long to wait for the answer to a demand before it is sent again.
    pub renew: Duration,
    /// How long a credit is used at most. The agents keep it a little longer, see
    /// [`crate::slot::Settings::hold`].
    pub hold: Duration,
    /// The entry's own data centre, preferred between equals.
    pub data_centre: Name,
}

impl Settings {
    /// The defaults for the policy `kind`.
    #[must_use]
    pub fn new(kind: PlacementPolicy) -> Self {
        Self {
            kind,
            few: 0,
            reach: if matches!(kind, PlacementPolicy::Probes) {
                3
            } else {
                0
            },
            ahead: if matches!(kind, PlacementPolicy::Credits) {
                4
            } else {
                0
            },
            bound: 512,
            stale: Duration::from_millis(100),
            renew: Duration::from_millis(250),
            hold: Duration::from_millis(4),
            data_centre: Name::from(""),
        }
    }

    /// With the effort that `weight` justifies, for [`PlacementPolicy::Credits`].
    #[must_use]
    pub const fn with_objective(mut self, weight: Objective) -> Self {
        if !matches!(self.kind, PlacementPolicy::Credits) {
            return self;
        }
        (self.few, self.reach) = match weight {
            Objective::Messages => (0, 0),
            Objective::Response => (20, 3),
        };
        self
    }

    /// Whether tasks are sent to upstreams that said "full" long ago. Needed where no
    /// task may wait ahead, since news then come only from upstreams that have room.
    #[must_use]
    pub(super) const fn tries_stale(&self) -> bool {
        self.kind.queues_at_upstream()
            || (matches!(self.kind, PlacementPolicy::Credits) && self.ahead == 0)
    }

    /// With another `reach`.
    #[must_use]
    pub const fn with_reach(mut self, reach: u16) -> Self {
        self.reach = reach;
        self
    }

    /// With another `ahead`.
    #[must_use]
    pub const fn with_ahead(mut self, ahead: u16) -> Self {
        self.ahead = ahead;
        self
    }

    /// With the entry's data centre.
    #[must_use]
    pub fn with_data_centre(mut self, data_centre: impl Into<Name>) -> Self {
        self.data_centre = data_centre.into();
        self
    }
}
