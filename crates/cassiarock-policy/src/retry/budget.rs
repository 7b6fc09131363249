//! The retry budget of an entry.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Whether a retry is safe, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetrySafety {
    /// The agent that could have started the task proved that it did not and will not.
    NotStarted,
    /// The caller declared the request idempotent.
    Idempotent,
    /// It is not known to be safe: the first attempt may have run.
    Unproven,
}

/// The settings of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Retries earned per success. At 0.1, a failure of all upstreams raises the load by at
    /// most a tenth, whereas unbounded retries would multiply it.
    pub retries_per_success: f64,
    /// Retries that may be saved up, and that a new entry starts with: enough for the tasks
    /// of one upstream that dies.
    pub reserve: f64,
    /// The longest wait before the first retry. It doubles with each further retry.
    pub base_delay: Duration,
    /// The longest wait before any retry. Beyond it, the caller's deadline ends the retries.
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

/// Grants retries in proportion to successes.
///
/// When many upstreams fail at once, retries become most of the load and keep the others
/// from recovering. The budget bounds them to a share of the successes, and full jitter
/// spreads them over time, so that tasks that failed together are not retried together.
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
    remaining: f64,
    rng: StdRng,
}

impl Budget {
    /// A budget that starts with its full reserve.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            remaining: settings.reserve,
            settings,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Earns a share of a retry for a task that succeeded.
    pub fn record_success(&mut self) {
        self.remaining =
            (self.remaining + self.settings.retries_per_success).min(self.settings.reserve);
    }

    /// Takes a retry from the budget. Returns how long to wait before retry number `retry`, of
    /// which 0 is the first, or `None` if it is not known to be safe or the budget is used up.
    pub fn take(&mut self, safety: RetrySafety, retry: u32) -> Option<Duration> {
        if safety == RetrySafety::Unproven || self.remaining < 1.0 {
            return None;
        }
        self.remaining -= 1.0;
        let factor = 2_u32.saturating_pow(retry.min(16));
        let max_delay = self.settings.base_delay.saturating_mul(factor);
        let max_delay = max_delay.min(self.settings.max_delay);
        Some(max_delay.mul_f64(self.rng.random()))
    }
}
