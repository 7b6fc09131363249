//! The ratio of actual run times to the callers' estimates, by route.

use cassiarock_id::Name;
use std::collections::HashMap;

/// The weight of one task in the moving mean: the last twenty tasks make up two thirds.
const WEIGHT: f64 = 0.05;

/// The ratio of one task is clamped to these bounds, so that no single task distorts the mean.
const BOUNDS: (f64, f64) = (0.2, 5.0);

/// The most routes that are remembered; a configuration has some hundreds.
const MAX_ROUTES: usize = 1024;

/// The learned ratio of each route.
#[derive(Clone, Debug, Default)]
pub(in crate::scheduler) struct RunTimeRatios(HashMap<Name, f64>);

impl RunTimeRatios {
    /// The ratio of `route`; 1 while nothing is known.
    pub(in crate::scheduler) fn ratio(&self, route: &str) -> f64 {
        self.0.get(route).copied().unwrap_or(1.0)
    }

    /// Adds the ratio of a task that is done to the mean of its route.
    pub(in crate::scheduler) fn observe(&mut self, route: &Name, ratio: f64) {
        if self.0.len() >= MAX_ROUTES && !self.0.contains_key(route) {
            self.0.clear();
        }
        let mean = self.0.entry(route.clone()).or_insert(1.0);
        *mean += WEIGHT * (ratio.clamp(BOUNDS.0, BOUNDS.1) - *mean);
    }
}
