//! The retry budget of an entry.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// What makes a second try safe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetrySafety {
    /// The agent that could have started the task proved that it did not and will not.
    NotStarted,
    /// The caller declared the request idempotent.
    Idempotent,
    /// Nothing: the first try may have run.
    Unproven,
}

/// The bounds of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Retries allowed per success. At a tenth, a total failure of all upstreams raises
    /// the load by a tenth at most, where unbounded retries would multiply it.
    pub retries_per_success: f64,
    /// Retries that may be saved up, and that a new entry has: enough for the tasks of
    /// one upstream that dies.
    pub reserve: f64,
    /// The longest wait before the first retry; doubles with each further one.
    pub base_delay: Duration,
    /// The longest wait before any retry. Above it the caller's deadline decides.
    pub max_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retries_per_success: 0.1,
            reserve: 64.0,
            base_delay: Duration::from_millis(20),
            max_delay: Duration::from_secs(2),
        }
    }
}

/// Counts successes and gives out retries.
///
/// Made for failures of many upstreams at once: retries are then most of the load and
/// keep the rest from recovering. They are bounded to a share of the successes, and
/// spread over time by full jitter, so that tasks which failed together do not come back
/// together.
///
/// ```
/// use cassiarock_policy::retry::{Budget, RetrySafety, Settings};
/// let mut budget = Budget::new(Settings::default(), 1);
/// assert!(budget.take(RetrySafety::NotStarted, 0).is_some());
/// assert!(budget.take(RetrySafety::Unproven, 0).is_none());
/// ```
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    left: f64,
    rng: StdRng,
}

impl Budget {
    /// A full budget.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            left: settings.reserve,
            settings,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// A task succeeded.
    pub fn record_success(&mut self) {
        self.left = (self.left + self.settings.retries_per_success).min(self.settings.reserve);
    }

    /// How long to wait before retry number `retry` (0 is the first); `None` if there is
    /// to be none, because it is not proved safe or the budget is used up.
    pub fn take(&mut self, safety: RetrySafety, retry: u32) -> Option<Duration> {
        if safety == RetrySafety::Unproven || self.left < 1.0 {
            return None;
        }
        self.left -= 1.0;
        let factor = 2_u32.saturating_pow(retry.min(16));
        let longest = self.settings.base_delay.saturating_mul(factor);
        let longest = longest.min(self.settings.max_delay);
        Some(longest.mul_f64(self.rng.random()))
    }
}
