//! Settings of an entry's admission and placement.

use crate::check::{self, Check};
use crate::units::Time;
use cassiarock_policy::{Objective, PlacementPolicy};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::time::Duration;

/// Settings of admission and placement.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How the agent of a task is chosen. Must be the same at all entries.
    pub placement: PlacementPolicy,
    /// Whether placement favours short response times or few messages. Must be the same at
    /// all entries and agents.
    pub weight: Objective,
    /// Maximum number of waiting and running tasks of admitted jobs; further jobs are refused.
    pub tasks: usize,
    /// Maximum number of admitted jobs. A caller waits for each of them.
    pub jobs: usize,
    /// How long a job may wait if its caller gives no deadline.
    #[serde_as(as = "Time")]
    pub patience: Duration,
    /// Maximum number of retries, as a share of successes.
    pub retry_share: f64,
    /// Largest share of a pool from which work may be withheld because its agents seem
    /// faulty.
    pub withheld_share: f64,
}

impl Policy {
    pub(crate) fn check(&self) -> Check {
        const MIN: Duration = Duration::from_millis(100);
        const MAX: Duration = Duration::from_secs(3600);
        check::positive("policy.tasks", self.tasks)?;
        check::positive("policy.jobs", self.jobs)?;
        check::between("policy.patience", self.patience, MIN, MAX)?;
        check::share("policy.retry_share", self.retry_share)?;
        check::share("policy.withheld_share", self.withheld_share)
    }
}

impl Default for Policy {
    /// At 1 KB a task, 50,000 tasks are 50 MB of an entry's 256 MB.
    fn default() -> Self {
        Self {
            placement: PlacementPolicy::default(),
            weight: Objective::default(),
            tasks: 50_000,
            jobs: 5_000,
            patience: Duration::from_secs(30),
            retry_share: 0.1,
            withheld_share: 0.3,
        }
    }
}
