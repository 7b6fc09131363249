//! The settings of fault detection.

use std::time::Duration;

/// When an upstream counts as faulty, and what follows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time between judgements. Shares change by one step per judgement, so that a wrong
    /// one costs little before the next corrects it.
    pub evaluation_interval: Duration,
    /// Tasks that must have ended since the last change before a judgement.
    pub min_samples: u32,
    /// Share of failed tasks above which an upstream is faulty, if it is also more than
    /// twice that of the others. A kind of task that fails everywhere is no upstream's
    /// fault.
    pub max_failure_rate: f64,
    /// How many times slower than the median upstream a straggler is.
    pub straggler_factor: f64,
    /// Share of the pool that may be withheld in all. A wrong detector, or a fault that
    /// all share, then leaves most of the pool in use.
    pub max_withheld_share: f64,
    /// The first pause before an upstream without tasks is tried again. It doubles with
    /// each failed trial, so that one that flaps is tried less and less.
    pub initial_pause: Duration,
    /// The longest pause.
    pub max_pause: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            evaluation_interval: Duration::from_millis(500),
            min_samples: 12,
            max_failure_rate: 0.4,
            straggler_factor: 2.5,
            max_withheld_share: 0.3,
            initial_pause: Duration::from_secs(5),
            max_pause: Duration::from_secs(160),
        }
    }
}
