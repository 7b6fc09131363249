//! The estimate for one kind of task.

use super::resources::Resources;
use std::time::Duration;

/// The minimum weight of one sample. Recent samples weigh more, so that the estimate follows
/// a change of the kind's run time within some tens of tasks.
const MIN_SAMPLE_WEIGHT: f64 = 0.03;

/// Once there are enough samples, each is clamped to the mean times or divided by this
/// factor, so that one task of 60 s does not make its whole kind seem long.
const OUTLIER_FACTOR: f64 = 4.0;

/// Samples needed before outliers are clamped, before declared values are used, and before
/// the kind counts as known.
const MIN_SAMPLES: u32 = 8;

/// Declared values are used only if the standard deviation of the logarithm of run time over
/// declared run time is below this: a factor of two either way.
const MAX_INFORMATIVE_SCATTER: f64 = 0.7;

/// Lower bound on run times, since their logarithms are taken.
const MIN_RUN_TIME_SECONDS: f64 = 0.0001;

/// What was learned about one kind of task.
#[derive(Clone, Debug, Default)]
pub(super) struct KindEstimate {
    samples: u32,
    /// Moving average of the run time in seconds.
    mean: f64,
    declared_samples: u32,
    /// Moving average of the logarithm of run time over declared run time.
    ratio: f64,
    /// Its variance.
    scatter: f64,
    pub(super) peak: Resources,
}

impl KindEstimate {
    pub(super) fn learn(&mut self, declared: Option<Duration>, ran: Duration) {
        let ran = ran.as_secs_f64().max(MIN_RUN_TIME_SECONDS);
        let sample = if self.samples < MIN_SAMPLES {
            ran
        } else {
            ran.clamp(self.mean / OUTLIER_FACTOR, self.mean * OUTLIER_FACTOR)
        };
        let weight = sample_weight(self.samples);
        self.mean += weight * (sample - self.mean);
        self.samples = self.samples.saturating_add(1);
        if let Some(declared) = declared {
            self.learn_ratio((ran / declared.as_secs_f64().max(MIN_RUN_TIME_SECONDS)).ln());
        }
    }

    fn learn_ratio(&mut self, log: f64) {
        let weight = sample_weight(self.declared_samples);
        let off = log - self.ratio;
        self.ratio += weight * off;
        self.scatter += weight * (off * off - self.scatter);
        self.declared_samples = self.declared_samples.saturating_add(1);
    }

    /// Whether the estimate is based on enough samples.
    pub(super) const fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// The expected run time in seconds; `None` before the first sample.
    pub(super) fn expect(&self, declared: Option<Duration>) -> Option<f64> {
        if self.samples == 0 {
            return None;
        }
        let informative =
            self.declared_samples >= MIN_SAMPLES && self.scatter.sqrt() < MAX_INFORMATIVE_SCATTER;
        match declared {
            Some(declared) if informative => Some(declared.as_secs_f64() * self.ratio.exp()),
            _ => Some(self.mean),
        }
    }
}

/// The weight of the next sample: that of a plain mean at first, of a moving average later.
fn sample_weight(samples: u32) -> f64 {
    (1.0 / (f64::from(samples) + 1.0)).max(MIN_SAMPLE_WEIGHT)
}
