//! The settings of placement.

use crate::{Objective, PlacementPolicy};
use cassiarock_id::Name;
use std::time::Duration;

/// How a [`super::Placer`] decides.
///
/// ```
/// use cassiarock_policy::{PlacementPolicy, place::Settings};
/// let settings = Settings::new(PlacementPolicy::Credits).with_demands_per_task(2);
/// assert_eq!(settings.demands_per_task, 2);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The policy.
    pub policy: PlacementPolicy,
    /// At how many upstreams a task asks for a slot that finds none open. More of them
    /// find one sooner; each costs a frame, and perhaps a grant that comes too late.
    pub demands_per_task: u16,
    /// A job with at most this many waiting tasks asks for slots rather than wait at one
    /// upstream, if none is open.
    pub small_job_tasks: usize,
    /// How many tasks may be bound beyond the free slots of one upstream, ahead of the
    /// slots' becoming free. Tasks that are due later do not count against it.
    pub prefetch: u16,
    /// How many tasks may be bound to one upstream in all, for the kinds that queue
    /// there: its slots and its queue.
    pub max_outstanding: u16,
    /// How long the load heard from an upstream counts. Older news are as good as none:
    /// most tasks end within a second, so that the slots have changed hands since.
    pub load_max_age: Duration,
    /// How long to wait for the answer to a demand before it is sent again.
    pub demand_interval: Duration,
    /// How long a credit is used at most. The agents keep it a little longer, see
    /// [`crate::slot::Settings::credit_lifetime`].
    pub credit_lifetime: Duration,
    /// The entry's own data centre, preferred between equals.
    pub data_centre: Name,
}

impl Settings {
    /// The defaults for the policy `kind`.
    #[must_use]
    pub fn new(kind: PlacementPolicy) -> Self {
        Self {
            policy: kind,
            small_job_tasks: 0,
            demands_per_task: if matches!(kind, PlacementPolicy::Probes) {
                3
            } else {
                0
            },
            prefetch: if matches!(kind, PlacementPolicy::Credits) {
                4
            } else {
                0
            },
            max_outstanding: 512,
            load_max_age: Duration::from_millis(100),
            demand_interval: Duration::from_millis(250),
            credit_lifetime: Duration::from_millis(4),
            data_centre: Name::from(""),
        }
    }

    /// With the effort that `weight` justifies, for [`PlacementPolicy::Credits`].
    #[must_use]
    pub const fn with_objective(mut self, weight: Objective) -> Self {
        if !matches!(self.policy, PlacementPolicy::Credits) {
            return self;
        }
        (self.small_job_tasks, self.demands_per_task) = match weight {
            Objective::Messages => (0, 0),
            Objective::Response => (20, 3),
        };
        self
    }

    /// Whether tasks are sent to upstreams that said "full" long ago. Needed where no
    /// task may wait ahead, since news then come only from upstreams that have room.
    #[must_use]
    pub(super) const fn tries_stale(&self) -> bool {
        self.policy.queues_at_upstream()
            || (matches!(self.policy, PlacementPolicy::Credits) && self.prefetch == 0)
    }

    /// With another `reach`.
    #[must_use]
    pub const fn with_demands_per_task(mut self, reach: u16) -> Self {
        self.demands_per_task = reach;
        self
    }

    /// With another `ahead`.
    #[must_use]
    pub const fn with_prefetch(mut self, ahead: u16) -> Self {
        self.prefetch = ahead;
        self
    }

    /// With the entry's data centre.
    #[must_use]
    pub fn with_data_centre(mut self, data_centre: impl Into<Name>) -> Self {
        self.data_centre = data_centre.into();
        self
    }
}
