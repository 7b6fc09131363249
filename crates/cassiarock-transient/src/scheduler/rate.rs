//! How much work an entry places.

use std::time::Duration;

/// Work counts for about this long: several tasks of the shortest kind, and shorter than a
/// burst of some seconds.
const WINDOW: Duration = Duration::from_millis(400);

/// Cores that the entry's tasks take up, as a mean that forgets.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    /// Core-milliseconds, each worth less the longer ago it was.
    sum: f64,
    at: Duration,
}

impl Rate {
    /// Work of so many core-milliseconds was placed.
    pub(super) fn add(&mut self, work: f64, now: Duration) {
        self.sum = self.faded(now) + work;
        self.at = now;
    }

    /// The rate in cores.
    pub(super) fn at(&self, now: Duration) -> f64 {
        self.faded(now) / WINDOW.as_secs_f64() / 1000.0
    }

    fn faded(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / WINDOW.as_secs_f64()).exp()
    }
}
