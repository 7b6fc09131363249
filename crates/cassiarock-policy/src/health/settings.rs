//! The settings of fault detection.

use std::time::Duration;

/// When an upstream counts as faulty, and how its share changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time between evaluations. A share changes by one step per evaluation, so that a wrong
    /// one costs little before the next corrects it.
    pub evaluation_interval: Duration,
    /// Tasks that must have ended since the share last changed before the upstream is
    /// evaluated.
    pub min_samples: u32,
    /// Share of failed tasks above which an upstream is faulty, if it is also more than twice
    /// the median. A kind of task that fails at all upstreams is not the fault of any.
    pub max_failure_rate: f64,
    /// How many times slower than the median an upstream must be to count as faulty.
    pub straggler_factor: f64,
    /// Share of the pool that may be withheld in total. With wrong detections, or a fault of
    /// all upstreams, most of the pool then stays in use.
    pub max_withheld_share: f64,
    /// The first pause before an upstream whose share is zero is tried again. It doubles with
    /// each failed trial, so that a flapping upstream is tried less and less often.
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
