//! How long callers usually wait, by route.

use cassiarock_id::Name;
use std::collections::HashMap;
use std::time::Duration;

/// The share of callers with less patience than the usual least.
const LEAST: f64 = 0.05;

/// A caller has waited if it has less than this part of the usual least patience: one in
/// twenty would be taken for it otherwise, the ones with the shortest jobs.
const SPENT: f64 = 0.9;

/// How far one caller moves the usual least, in terms of it. After a loss of all machines half
/// of the callers of a second have waited: they lower it by a tenth only.
const STEP: f64 = 0.002;

/// Callers of which the least is taken as it is. With fewer nothing is known.
const FIRST: u32 = 20;

/// Callers after which a process goes by what it has seen itself: some ten times what the
/// first second after a restart brings.
const SURE: u32 = 200;

/// Routes that are remembered; a configuration has some hundreds.
const ROUTES: usize = 1024;

/// What is known of the callers of one route.
#[derive(Clone, Copy, Debug)]
struct Usual {
    least: Duration,
    seen: u32,
}

/// The usual least patience of each route's callers.
#[derive(Clone, Debug, Default)]
pub(super) struct Patience(HashMap<Name, Usual>);

impl Patience {
    /// Whether a caller with this much patience has waited before it came: its earlier
    /// submission was lost with its connection, or its connection was long in coming.
    pub(super) fn is_spent(&self, route: &str, patience: Duration) -> bool {
        let least = self.least(route);
        least.is_some_and(|least| patience < least.mul_f64(SPENT))
    }

    /// The usual least patience, if enough callers have been seen.
    pub(super) fn least(&self, route: &str) -> Option<Duration> {
        let usual = self.0.get(route)?;
        (usual.seen >= FIRST).then_some(usual.least)
    }

    /// All that is known, each with whether enough callers were seen to replace what others
    /// have learned.
    pub(super) fn all(&self) -> impl Iterator<Item = (&Name, Duration, bool)> {
        let known = self.0.iter().filter(|(_, usual)| usual.seen >= FIRST);
        known.map(|(route, usual)| (route, usual.least, usual.seen >= SURE))
    }

    /// What an earlier life or another entry has learned counts while this one knows less.
    ///
    /// The callers of a process's first second are no measure: after a loss of all machines
    /// half of them have waited, and the least of the first twenty was theirs.
    pub(super) fn adopt(&mut self, route: &Name, least: Duration) {
        let seen = self.0.get(route).map_or(0, |usual| usual.seen);
        if seen < SURE {
            self.0.insert(route.clone(), Usual { least, seen: SURE });
        }
    }

    pub(super) fn learn(&mut self, route: &Name, patience: Duration) {
        if self.0.len() >= ROUTES && !self.0.contains_key(route) {
            self.0.clear();
        }
        let usual = self.0.entry(route.clone()).or_insert(Usual {
            least: patience,
            seen: 0,
        });
        if usual.seen < FIRST {
            usual.least = usual.least.min(patience);
            usual.seen += 1;
            return;
        }
        usual.seen = usual.seen.saturating_add(1);
        let step = if patience < usual.least {
            1.0 - STEP * (1.0 - LEAST)
        } else {
            1.0 + STEP * LEAST
        };
        usual.least = usual.least.mul_f64(step);
    }
}
