//! How an entry admits and places work.

use crate::check::{self, Check};
use crate::units::Time;
use cassiarock_policy::{Objective, PlacementPolicy};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::time::Duration;

/// The tuning of admission and placement.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How the agent of a task is chosen. Must be the same at all entries.
    pub placement: PlacementPolicy,
    /// Whether response time or messages count more. Must be the same at all entries and
    /// agents.
    pub weight: Objective,
    /// Tasks of admitted jobs, waiting and running; further jobs are refused.
    pub tasks: usize,
    /// Admitted jobs; each is a caller who waits.
    pub jobs: usize,
    /// The wait allowed to a job whose caller names no deadline.
    #[serde_as(as = "Time")]
    pub patience: Duration,
    /// Retries as a share of successes.
    pub retry_share: f64,
    /// Largest share of a pool from which work may be withheld because its agents seem
    /// faulty.
    pub withheld_share: f64,
}

impl Policy {
    pub(crate) fn check(&self) -> Check {
        const LEAST: Duration = Duration::from_millis(100);
        const MOST: Duration = Duration::from_secs(3600);
        check::positive("policy.tasks", self.tasks)?;
        check::positive("policy.jobs", self.jobs)?;
        check::between("policy.patience", self.patience, LEAST, MOST)?;
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
