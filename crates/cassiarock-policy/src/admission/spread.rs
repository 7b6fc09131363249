//! When refused callers may try again.

use super::Settings;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Time constant, in seconds, over which refused work is forgotten. Most callers try again
/// within it.
const REFUSED_DECAY_SECONDS: f64 = 10.0;

/// Spreads retries of refused jobs over time so that their work does not exceed the service
/// rate. Jobs refused within the same second would otherwise return together and be refused
/// together again.
#[derive(Debug)]
pub(super) struct RetrySpread {
    /// Recently refused work in seconds of slot time.
    refused: f64,
    decayed_at: Duration,
    rng: StdRng,
}

impl RetrySpread {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            refused: 0.0,
            decayed_at: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// After how long a refused job of `work` may be tried again if it is expected to fit in
    /// `wait` seconds.
    pub(super) fn next(
        &mut self,
        work: f64,
        wait: f64,
        service: f64,
        settings: &Settings,
        now: Duration,
    ) -> Duration {
        let passed = now.saturating_sub(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        self.refused = self.refused * (-passed / REFUSED_DECAY_SECONDS).exp() + work;
        let longest = settings.max_retry_after.as_secs_f64();
        let wait = wait.clamp(0.0, longest / 2.0);
        let width = (self.refused / service).clamp(wait, longest - wait);
        let spread = Duration::from_secs_f64(wait + width * self.rng.random::<f64>());
        // Without jitter on the shortest wait, callers at this bound would return together.
        spread
            + settings
                .min_retry_after
                .mul_f64(1.0 + self.rng.random::<f64>())
    }
}
