//! Estimates of run times and resource use by kind of task.

use super::kind::KindEstimate;
use super::resources::Resources;
use crate::Due;
use cassiarock_id::Name;
use std::collections::HashMap;
use std::time::Duration;

/// How many kinds have an estimate of their own. Callers choose the names, so their number
/// must be bounded; all further kinds share one estimate.
const MAX_KINDS: usize = 1024;

/// The expected run time before anything is learned; that of most tasks.
const DEFAULT_RUN_TIME_SECONDS: f64 = 0.25;

/// For how many times its ideal run time a job may be overtaken by smaller ones. At 100, a
/// job that takes the whole pool for one second is overtaken by small jobs that arrive within
/// 100 s and then by none, so it is not starved.
const ALLOWED_STRETCH: f64 = 100.0;

/// Learns run times and resource use from outcomes, by kind of task.
///
/// Declared run times may be wrong by a factor of ten either way. A declared value is used
/// only if the kind's declared values have matched the run times up to a constant factor;
/// otherwise the kind's mean is used. Jobs with more work are due later, so that they do not
/// delay short ones.
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
    /// The estimate shared by all kinds beyond [`MAX_KINDS`].
    others: KindEstimate,
}

impl Estimator {
    /// Learns from a task of `kind` that ran for `ran`. Leave out failed tasks, since they end
    /// early.
    pub fn learn(&mut self, kind: &Name, declared: Option<Duration>, ran: Duration) {
        self.kind(kind).learn(declared, ran);
    }

    /// Learns from a task of `kind` that used `used` at its peak.
    pub fn learn_usage(&mut self, kind: &Name, used: Resources) {
        let kind = self.kind(kind);
        kind.peak = kind.peak.max(used);
    }

    /// The expected run time of one task.
    #[must_use]
    pub fn run_time(&self, kind: &Name, declared: Option<Duration>) -> Duration {
        let known = self.kinds.get(kind).and_then(|kind| kind.expect(declared));
        let expected = known.or_else(|| self.others.expect(None));
        Duration::from_secs_f64(expected.unwrap_or(DEFAULT_RUN_TIME_SECONDS))
    }

    /// The run time of a task divided by its expected run time. It is 1 until enough samples of
    /// the kind are known, so that a new kind does not make its upstream seem slow.
    #[must_use]
    pub fn slowness(&self, kind: &Name, declared: Option<Duration>, ran: Duration) -> f64 {
        if !self.kinds.get(kind).is_some_and(KindEstimate::is_known) {
            return 1.0;
        }
        let expected = self.run_time(kind, declared).as_secs_f64();
        ran.as_secs_f64() / expected.max(f64::MIN_POSITIVE)
    }

    /// The largest peak use seen of the kind.
    #[must_use]
    pub fn peak_usage(&self, kind: &Name) -> Resources {
        self.kinds
            .get(kind)
            .map_or(Resources::default(), |kind| kind.peak)
    }

    /// When a job is due that arrived at `arrival` with `work` of slot time in total, in a pool
    /// of `slots` slots.
    #[must_use]
    pub fn due(arrival: Duration, work: Duration, slots: usize) -> Due {
        let ideal = work.div_f64(slots.max(1) as f64);
        Due::new(arrival, ideal.mul_f64(ALLOWED_STRETCH))
    }

    fn kind(&mut self, name: &Name) -> &mut KindEstimate {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(name) {
            return &mut self.others;
        }
        self.kinds.entry(name.clone()).or_default()
    }
}
