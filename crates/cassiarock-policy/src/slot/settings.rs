//! The settings of an upstream's slots.

use crate::Objective;
use std::time::Duration;

/// The settings of a [`super::SlotScheduler`].
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
    /// How many starts may wait in the queue. At 8 slots and 250 ms a task, 512 starts are
    /// a wait of 16 s.
    pub queue_capacity: u16,
    /// How much earlier another entry's work must be due to get a slot before the queued
    /// tasks and before the entry to which an outcome is sent anyway. A larger value saves
    /// grant frames. Due times of jobs differ by seconds to minutes, since smaller jobs may
    /// overtake a job for a multiple of its run time.
    pub slack: Duration,
    /// How long a free slot waits for an outcome that can carry its credit before a separate
    /// grant frame is sent. A larger value saves frames and costs response time.
    pub piggyback_wait: Duration,
    /// How long a credit keeps its slot free. An entry uses it within a round trip (1 ms to
    /// 2 ms); one that does not respond must not block slots.
    pub credit_lifetime: Duration,
    /// How long a demand is valid without being renewed. An entry renews it while it has
    /// waiting work; one that lost its connection or its jobs does not.
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

    /// Sets [`Self::slack`] by the objective.
    #[must_use]
    pub const fn with_objective(mut self, objective: Objective) -> Self {
        self.slack = match objective {
            Objective::Messages => Duration::from_secs(100),
            Objective::Response => Duration::from_secs(5),
        };
        self
    }

    /// Sets [`Self::slack`].
    #[must_use]
    pub const fn with_slack(mut self, slack: Duration) -> Self {
        self.slack = slack;
        self
    }

    /// Sets [`Self::piggyback_wait`].
    #[must_use]
    pub const fn with_piggyback_wait(mut self, wait: Duration) -> Self {
        self.piggyback_wait = wait;
        self
    }
}
