//! Health checks of an agent's worker.

use crate::check::{self, Check};
use crate::units::Time;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::time::Duration;

/// Interval, timeout and failure threshold of the worker's health checks.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Health {
    /// Time between two checks.
    #[serde_as(as = "Time")]
    pub interval: Duration,
    /// A check without an answer for this long counts as failed.
    #[serde_as(as = "Time")]
    pub timeout: Duration,
    /// Consecutive failed checks after which the worker gets no new tasks.
    pub failures: u32,
}

impl Health {
    pub(crate) fn check(&self) -> Check {
        const MIN: Duration = Duration::from_millis(10);
        const MAX: Duration = Duration::from_secs(60);
        check::between("health.interval", self.interval, MIN, MAX)?;
        check::between("health.timeout", self.timeout, MIN, MAX)?;
        check::positive("health.failures", self.failures as usize)
    }
}

impl Default for Health {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(500),
            timeout: Duration::from_secs(1),
            failures: 3,
        }
    }
}
