//! What outcomes taught about one kind of task.

use super::resources::Resources;
use std::time::Duration;

/// How much one sample counts at least. Younger samples weigh more, so that a kind that
/// changes its run time is followed within some tens of tasks.
const WEIGHT: f64 = 0.03;

/// A sample counts as at most this multiple, or part, of the estimate once some samples
/// are in: one task of 60 s must not make its kind a long one.
const OUTLIER: f64 = 4.0;

/// Samples before outliers are cut and before the declared value is left aside.
const TRUSTED_AFTER: u32 = 8;

/// How far the declared value may scatter around a multiple of the truth, as the standard
/// deviation of the logarithm, to be of use: a factor of two either way.
const INFORMATIVE: f64 = 0.7;

/// The lower bound for run times in logarithms.
const SHORTEST: f64 = 0.0001;

/// Learned values of one kind.
#[derive(Clone, Debug, Default)]
pub(super) struct KindEstimate {
    samples: u32,
    mean: f64,
    declared_samples: u32,
    /// Mean and variance of the logarithm of run time over declared run time.
    ratio: f64,
    scatter: f64,
    pub(super) peak: Resources,
}

impl KindEstimate {
    pub(super) fn learn(&mut self, declared: Option<Duration>, ran: Duration) {
        let ran = ran.as_secs_f64().max(SHORTEST);
        let sample = if self.samples < TRUSTED_AFTER {
            ran
        } else {
            ran.clamp(self.mean / OUTLIER, self.mean * OUTLIER)
        };
        let weight = step(self.samples);
        self.mean += weight * (sample - self.mean);
        self.samples = self.samples.saturating_add(1);
        if let Some(declared) = declared {
            self.learn_ratio((ran / declared.as_secs_f64().max(SHORTEST)).ln());
        }
    }

    fn learn_ratio(&mut self, log: f64) {
        let weight = step(self.declared_samples);
        let off = log - self.ratio;
        self.ratio += weight * off;
        self.scatter += weight * (off * off - self.scatter);
        self.declared_samples = self.declared_samples.saturating_add(1);
    }

    /// Whether the estimate rests on more than a few samples.
    pub(super) const fn is_known(&self) -> bool {
        self.samples >= TRUSTED_AFTER
    }

    /// The expected run time in seconds; `None` before the first sample.
    pub(super) fn expect(&self, declared: Option<Duration>) -> Option<f64> {
        if self.samples == 0 {
            return None;
        }
        let informative =
            self.declared_samples >= TRUSTED_AFTER && self.scatter.sqrt() < INFORMATIVE;
        match declared {
            Some(declared) if informative => Some(declared.as_secs_f64() * self.ratio.exp()),
            _ => Some(self.mean),
        }
    }
}

/// The plain mean at first, a moving one later.
fn step(samples: u32) -> f64 {
    (1.0 / (f64::from(samples) + 1.0)).max(WEIGHT)
}
