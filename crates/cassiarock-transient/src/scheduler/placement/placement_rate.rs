//! The rate at which an entry places work.

use std::time::Duration;

/// The time constant of the decay: several tasks of the shortest kind, and shorter than a burst of
/// some seconds.
const WINDOW: Duration = Duration::from_millis(400);

/// The cores that the entry's tasks take up, as an exponentially decaying mean.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::scheduler) struct PlacementRate {
    /// Placed core-milliseconds, decayed up to `updated`.
    sum: f64,
    updated: Duration,
}

impl PlacementRate {
    /// Records that work of so many core-milliseconds was placed.
    pub(in crate::scheduler) fn add(&mut self, core_millis: f64, now: Duration) {
        self.sum = self.decayed_sum(now) + core_millis;
        self.updated = now;
    }

    /// The rate in cores.
    pub(in crate::scheduler) fn cores(&self, now: Duration) -> f64 {
        self.decayed_sum(now) / WINDOW.as_secs_f64() / 1000.0
    }

    fn decayed_sum(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.sum * (-age / WINDOW.as_secs_f64()).exp()
    }
}
