//! How long tasks run in terms of their callers' estimates, by route.

use cassiarock_id::Name;
use std::collections::HashMap;

/// The weight of one task: the last twenty make up two thirds.
const WEIGHT: f64 = 0.05;

/// One task counts within these bounds, so that none upsets the mean.
const BOUNDS: (f64, f64) = (0.2, 5.0);

/// Routes that are remembered; a configuration has some hundreds.
const ROUTES: usize = 1024;

/// The learned ratios.
#[derive(Clone, Debug, Default)]
pub(super) struct Ratios(HashMap<Name, f64>);

impl Ratios {
    /// The ratio of `route`; 1 while nothing is known.
    pub(super) fn of(&self, route: &str) -> f64 {
        self.0.get(route).copied().unwrap_or(1.0)
    }

    pub(super) fn learn(&mut self, route: &Name, ratio: f64) {
        if self.0.len() >= ROUTES && !self.0.contains_key(route) {
            self.0.clear();
        }
        let known = self.0.entry(route.clone()).or_insert(1.0);
        *known += WEIGHT * (ratio.clamp(BOUNDS.0, BOUNDS.1) - *known);
    }
}
