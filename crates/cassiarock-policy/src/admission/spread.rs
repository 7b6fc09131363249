//! When refused callers come again.

use super::Settings;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Over which time refused work is remembered, in seconds: most callers come again
/// within it.
const MEMORY: f64 = 10.0;

/// Spreads the return of refused work so that it does not exceed the service rate: the
/// refused of one second would otherwise return together and be refused together.
#[derive(Debug)]
pub(super) struct Spread {
    refused: f64,
    decayed_at: Duration,
    rng: StdRng,
}

impl Spread {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            refused: 0.0,
            decayed_at: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// When a job of `work` may come again that would fit in `wait` seconds.
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
        self.refused = self.refused * (-passed / MEMORY).exp() + work;
        let longest = settings.max_retry_after.as_secs_f64();
        let wait = wait.clamp(0.0, longest / 2.0);
        let width = (self.refused / service).clamp(wait, longest - wait);
        let spread = Duration::from_secs_f64(wait + width * self.rng.random::<f64>());
        // Above the shortest wait, so that the bound itself does not line callers up.
        spread
            + settings
                .min_retry_after
                .mul_f64(1.0 + self.rng.random::<f64>())
    }
}
