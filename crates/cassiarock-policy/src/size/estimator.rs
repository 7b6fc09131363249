//! Run times and needs by kind of task.

use super::kind::KindEstimate;
use super::resources::Resources;
use crate::Due;
use cassiarock_id::Name;
use std::collections::HashMap;
use std::time::Duration;

/// How many kinds are learned apart. Callers choose the names, so they need a bound;
/// kinds beyond it share one estimate.
const KINDS: usize = 1024;

/// The run time of a task of which nothing is known: that of most tasks.
const UNKNOWN: f64 = 0.25;

/// How often a job's own ideal time it may be passed by smaller ones. At 100, a job that
/// takes the whole pool for one second is passed by small jobs that arrive within 100 s,
/// and then by none: it is not starved.
const STRETCH: f64 = 100.0;

/// What outcomes taught, by kind.
///
/// Made for declared run times that are off by ten times either way. A declared value is
/// used only where it proved to follow the truth up to a constant factor; else the kind's
/// own mean is. Long jobs are due later, so that they do not hold up short ones.
///
/// ```
/// use cassiarock_id::Name;
/// use cassiarock_policy::size::Estimator;
/// use std::time::Duration;
/// let mut estimate = Estimator::default();
/// let kind = Name::from("seat-check");
/// let declared = Some(Duration::from_secs(10));
/// for _ in 0..20 {
///     estimate.learn(&kind, declared, Duration::from_millis(100));
/// }
/// let expected = estimate.run_time(&kind, declared);
/// assert!(expected > Duration::from_millis(99) && expected < Duration::from_millis(101));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    kinds: HashMap<Name, KindEstimate>,
    others: KindEstimate,
}

impl Estimator {
    /// A task of `kind` ran for `ran`. Failed tasks teach nothing: they end early.
    pub fn learn(&mut self, kind: &Name, declared: Option<Duration>, ran: Duration) {
        self.kind(kind).learn(declared, ran);
    }

    /// A task of `kind` was seen to use `used` at its peak.
    pub fn learn_usage(&mut self, kind: &Name, used: Resources) {
        let kind = self.kind(kind);
        kind.peak = kind.peak.max(used);
    }

    /// The expected run time of one task.
    #[must_use]
    pub fn run_time(&self, kind: &Name, declared: Option<Duration>) -> Duration {
        let known = self.kinds.get(kind).and_then(|kind| kind.expect(declared));
        let expected = known.or_else(|| self.others.expect(None));
        Duration::from_secs_f64(expected.unwrap_or(UNKNOWN))
    }

    /// How many times longer than expected a task took. One while the kind is not known
    /// well enough to tell: a new kind must not make its upstream look slow.
    #[must_use]
    pub fn slowness(&self, kind: &Name, declared: Option<Duration>, ran: Duration) -> f64 {
        if !self.kinds.get(kind).is_some_and(KindEstimate::is_known) {
            return 1.0;
        }
        let expected = self.run_time(kind, declared).as_secs_f64();
        ran.as_secs_f64() / expected.max(f64::MIN_POSITIVE)
    }

    /// The largest need seen of the kind.
    #[must_use]
    pub fn need(&self, kind: &Name) -> Resources {
        self.kinds
            .get(kind)
            .map_or(Resources::default(), |kind| kind.peak)
    }

    /// When a job is due that arrived at `arrival` with `work` of slot time in all, in a
    /// pool of `slots` slots.
    #[must_use]
    pub fn due(arrival: Duration, work: Duration, slots: usize) -> Due {
        let ideal = work.div_f64(slots.max(1) as f64);
        Due::new(arrival, ideal.mul_f64(STRETCH))
    }

    fn kind(&mut self, name: &Name) -> &mut KindEstimate {
        if self.kinds.len() >= KINDS && !self.kinds.contains_key(name) {
            return &mut self.others;
        }
        self.kinds.entry(name.clone()).or_default()
    }
}
