//! How long callers usually wait for an answer, by route.

use cassiarock_id::Name;
use std::collections::HashMap;
use std::time::Duration;

/// The quantile of the callers' patience that is tracked as the usual least.
const QUANTILE: f64 = 0.05;

/// A caller has waited before if it has less than this part of the usual least patience. At 1, one
/// caller in twenty would be taken for one that has waited: those with the shortest jobs.
const WAITED_BELOW: f64 = 0.9;

/// How far one caller moves the usual least, relative to its value. After a loss of all machines
/// half of the callers of one second have waited, and lower it by only a tenth.
const STEP: f64 = 0.002;

/// The number of callers whose least patience is taken as it is. With fewer, nothing is known.
const MIN_CALLERS: u32 = 20;

/// The number of callers after which a process relies on what it has seen itself: some ten times
/// what the first second after a restart brings.
const ENOUGH_CALLERS: u32 = 200;

/// The most routes that are remembered; a configuration has some hundreds.
const MAX_ROUTES: usize = 1024;

/// What is known of the callers of one route.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    least: Duration,
    callers: u32,
}

/// The usual least patience of each route's callers.
#[derive(Clone, Debug, Default)]
pub(in crate::scheduler) struct Patience(HashMap<Name, Estimate>);

impl Patience {
    /// Whether a caller with this much patience has waited before it submitted: its earlier
    /// submission was lost with its connection, or its connection took long to open.
    pub(in crate::scheduler) fn has_waited(&self, route: &str, patience: Duration) -> bool {
        let least = self.least(route);
        least.is_some_and(|least| patience < least.mul_f64(WAITED_BELOW))
    }

    /// The usual least patience, if enough callers have been seen.
    pub(in crate::scheduler) fn least(&self, route: &str) -> Option<Duration> {
        let estimate = self.0.get(route)?;
        (estimate.callers >= MIN_CALLERS).then_some(estimate.least)
    }

    /// The usual least patience of each route for which it is known, with whether enough callers
    /// were seen to replace what other processes have learned.
    pub(in crate::scheduler) fn iter(&self) -> impl Iterator<Item = (&Name, Duration, bool)> {
        let known = self.0.iter();
        let known = known.filter(|(_, estimate)| estimate.callers >= MIN_CALLERS);
        known.map(|(route, estimate)| {
            let is_sure = estimate.callers >= ENOUGH_CALLERS;
            (route, estimate.least, is_sure)
        })
    }

    /// Takes over what an earlier process or another entry has learned, unless this process has
    /// seen enough callers itself.
    ///
    /// The callers of a process's first second are not representative: after a loss of all machines
    /// half of them have waited, and the least patience of the first twenty was theirs.
    pub(in crate::scheduler) fn adopt(&mut self, route: &Name, least: Duration) {
        let callers = self.0.get(route).map_or(0, |estimate| estimate.callers);
        if callers < ENOUGH_CALLERS {
            let callers = ENOUGH_CALLERS;
            self.0.insert(route.clone(), Estimate { least, callers });
        }
    }

    /// Adds the patience of a caller to the estimate of its route.
    pub(in crate::scheduler) fn observe(&mut self, route: &Name, patience: Duration) {
        if self.0.len() >= MAX_ROUTES && !self.0.contains_key(route) {
            self.0.clear();
        }
        let estimate = self.0.entry(route.clone()).or_insert(Estimate {
            least: patience,
            callers: 0,
        });
        if estimate.callers < MIN_CALLERS {
            estimate.least = estimate.least.min(patience);
            estimate.callers += 1;
            return;
        }
        estimate.callers = estimate.callers.saturating_add(1);
        let step = if patience < estimate.least {
            1.0 - STEP * (1.0 - QUANTILE)
        } else {
            1.0 + STEP * QUANTILE
        };
        estimate.least = estimate.least.mul_f64(step);
    }
}
