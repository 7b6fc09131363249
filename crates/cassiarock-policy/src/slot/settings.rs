//! The settings of an upstream's slots.

use crate::Objective;
use std::time::Duration;

/// Bounds and waiting times of a [`super::SlotScheduler`].
///
/// ```
/// use cassiarock_policy::slot::Settings;
/// let settings = Settings::new(8).with_piggyback_wait(std::time::Duration::ZERO);
/// assert_eq!(settings.slots, 8);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How many tasks run at once.
    pub slots: u16,
    /// How many starts wait here at most. At 8 slots and 250 ms a task that is a wait of 16 s.
    pub queue_capacity: u16,
    /// How much earlier another entry's work must be due for it to get a slot before the
    /// entry that the outcome goes to anyway, and before what waits here. Larger saves
    /// grant frames. Due times of jobs differ by seconds to minutes, since a job may be
    /// passed for a multiple of its run time.
    pub slack: Duration,
    /// How long a free slot waits for an outcome that can carry its credit, before a
    /// grant frame of its own is sent. Larger saves frames and costs response time.
    pub piggyback_wait: Duration,
    /// How long a credit keeps its slot free. The entry answers within a round trip
    /// (1 ms to 2 ms) unless it is silent, and a silent one may not block slots.
    pub credit_lifetime: Duration,
    /// How long a demand stays without being renewed. An entry renews it while it has
    /// work waiting; one that lost its connection or its jobs does not.
    pub demand_lifetime: Duration,
}

impl Settings {
    /// The defaults for an upstream with `slots` slots.
    #[must_use]
    pub const fn new(slots: u16) -> Self {
        Self {
            slots,
            queue_capacity: 512,
            slack: Duration::from_secs(100),
            piggyback_wait: Duration::ZERO,
            credit_lifetime: Duration::from_millis(5),
            demand_lifetime: Duration::from_millis(1000),
        }
    }

    /// With the effort that `weight` justifies.
    #[must_use]
    pub const fn with_objective(mut self, weight: Objective) -> Self {
        self.slack = match weight {
            Objective::Messages => Duration::from_secs(100),
            Objective::Response => Duration::from_secs(5),
        };
        self
    }

    /// With another `slack`.
    #[must_use]
    pub const fn with_slack(mut self, slack: Duration) -> Self {
        self.slack = slack;
        self
    }

    /// With another `patience`.
    #[must_use]
    pub const fn with_piggyback_wait(mut self, patience: Duration) -> Self {
        self.piggyback_wait = patience;
        self
    }
}
