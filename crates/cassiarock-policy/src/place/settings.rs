//! The settings of placement.

use crate::{Objective, PlacementPolicy};
use cassiarock_id::Name;
use std::time::Duration;

/// The settings of a [`super::Placer`].
///
/// ```
/// use cassiarock_policy::{PlacementPolicy, place::Settings};
/// let settings = Settings::new(PlacementPolicy::Credits).with_demands_per_task(2);
/// assert_eq!(settings.demands_per_task, 2);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How tasks are assigned to upstreams.
    pub policy: PlacementPolicy,
    /// How many upstreams are asked for a slot on behalf of a task that finds none open.
    /// With more demands a slot is found sooner, but each costs a frame and may bring a
    /// grant that comes too late.
    pub demands_per_task: u16,
    /// If no slot is open, the tasks of a job with at most this many waiting tasks demand
    /// slots rather than wait at one upstream.
    pub small_job_tasks: usize,
    /// How many tasks may be sent to one upstream beyond its free slots, to wait there.
    /// Tasks that are due later do not count against it.
    pub prefetch: u16,
    /// How many tasks one upstream may have in all under the policies that queue there:
    /// its slots and its queue.
    pub max_outstanding: u16,
    /// The age from which a load report is stale. Most tasks end within a second, so an
    /// older report says nothing about the slots now.
    pub load_max_age: Duration,
    /// How long to wait for the answer to a demand before it is sent again.
    pub demand_interval: Duration,
    /// How long a credit may be used. The agents keep it a little longer, see
    /// [`crate::slot::Settings::credit_lifetime`].
    pub credit_lifetime: Duration,
    /// The entry's own data centre. Between equally loaded upstreams, one in it is
    /// preferred.
    pub data_centre: Name,
}

impl Settings {
    /// The defaults for a policy.
    #[must_use]
    pub fn new(policy: PlacementPolicy) -> Self {
        Self {
            policy,
            small_job_tasks: 0,
            demands_per_task: if matches!(policy, PlacementPolicy::Probes) {
                3
            } else {
                0
            },
            prefetch: if matches!(policy, PlacementPolicy::Credits) {
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

    /// Sets the number of demands by the objective, for [`PlacementPolicy::Credits`] only.
    #[must_use]
    pub const fn with_objective(mut self, objective: Objective) -> Self {
        if !matches!(self.policy, PlacementPolicy::Credits) {
            return self;
        }
        (self.small_job_tasks, self.demands_per_task) = match objective {
            Objective::Messages => (0, 0),
            Objective::Response => (20, 3),
        };
        self
    }

    /// Whether tasks are sent to full upstreams whose load report is stale. Needed if no
    /// task may wait at an upstream, since reports then come only from those with room.
    #[must_use]
    pub(super) const fn tries_stale(&self) -> bool {
        self.policy.queues_at_upstream()
            || (matches!(self.policy, PlacementPolicy::Credits) && self.prefetch == 0)
    }

    /// Sets [`Self::demands_per_task`].
    #[must_use]
    pub const fn with_demands_per_task(mut self, demands: u16) -> Self {
        self.demands_per_task = demands;
        self
    }

    /// Sets [`Self::prefetch`].
    #[must_use]
    pub const fn with_prefetch(mut self, tasks: u16) -> Self {
        self.prefetch = tasks;
        self
    }

    /// Sets [`Self::data_centre`].
    #[must_use]
    pub fn with_data_centre(mut self, data_centre: impl Into<Name>) -> Self {
        self.data_centre = data_centre.into();
        self
    }
}
