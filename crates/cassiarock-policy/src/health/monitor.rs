//! Detection of faulty upstreams by the outcomes of their tasks.

use super::Settings;
use super::record::{Outcome, Record};
use cassiarock_id::Process;
use std::collections::BTreeMap;
use std::time::Duration;

/// How many times the median failure rate a faulty upstream must exceed.
const FAILURE_RATIO: f64 = 2.0;

/// Consecutive failures that trigger an evaluation at once. An upstream that fails a task
/// within a millisecond would fail hundreds until the next regular evaluation.
const URGENT_STREAK: u32 = 6;

/// An upstream found faulty.
struct Fault {
    agent: Process,
    /// Whether it fails tasks rather than being slow.
    is_failing: bool,
    severity: f64,
}

/// Decides which share of its slots each upstream may use.
///
/// An upstream that fails every task at once always seems free and would attract most of
/// the load. It loses its share at once; a slow upstream loses it by halves. After a pause
/// one slot is tried, then the share doubles with each evaluation that finds the upstream
/// healthy. The share withheld in total is bounded.
///
/// ```
/// use cassiarock_id::Process;
/// use cassiarock_policy::health::{Monitor, Outcome, Settings};
/// use std::time::Duration;
/// let mut monitor = Monitor::new(Settings::default());
/// for index in 0..11 {
///     monitor.add(Process::new(format!("agent-{index}"), 1));
/// }
/// let faulty = Process::new("agent-3", 1);
/// for _ in 0..20 {
///     monitor.record(&faulty, Outcome::Failed);
/// }
/// let changes = monitor.evaluate(Duration::from_secs(1));
/// assert_eq!(changes, [(faulty, 0.0)]);
/// ```
#[derive(Debug)]
pub struct Monitor {
    settings: Settings,
    records: BTreeMap<Process, Record>,
    evaluated_at: Option<Duration>,
    is_urgent: bool,
}

impl Monitor {
    /// A monitor without upstreams.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
            evaluated_at: None,
            is_urgent: false,
        }
    }

    /// Adds an upstream; one that is known keeps its record.
    pub fn add(&mut self, agent: Process) {
        let record = Record::new(&self.settings);
        self.records.entry(agent).or_insert(record);
    }

    /// Removes an upstream that is gone permanently.
    pub fn remove(&mut self, agent: &Process) {
        self.records.remove(agent);
    }

    /// Records the outcome of a task at `agent`. A reject is not an outcome.
    pub fn record(&mut self, agent: &Process, end: Outcome) {
        if let Some(record) = self.records.get_mut(agent) {
            record.add(end);
            self.is_urgent |= record.streak == URGENT_STREAK;
        }
    }

    /// The share of its slots that `agent` may use, 0 to 1.
    #[must_use]
    pub fn share(&self, agent: &Process) -> f64 {
        self.records.get(agent).map_or(1.0, |record| record.share)
    }

    /// When to call [`Self::evaluate`] next; at once if an upstream fails one task after
    /// another.
    #[must_use]
    pub fn next_evaluation(&self) -> Duration {
        if self.is_urgent {
            return Duration::ZERO;
        }
        let evaluated = self.evaluated_at.unwrap_or_default();
        evaluated + self.settings.evaluation_interval
    }

    /// Evaluates all upstreams and returns the shares that changed.
    pub fn evaluate(&mut self, now: Duration) -> Vec<(Process, f64)> {
        let last = self.evaluated_at;
        let is_early = last.is_some_and(|last| now < last + self.settings.evaluation_interval);
        if is_early && !self.is_urgent {
            return Vec::new();
        }
        self.is_urgent = false;
        self.evaluated_at = Some(now);
        let before: Vec<f64> = self.records.values().map(|record| record.share).collect();
        let faults = self.faults();
        self.raise_healthy(&faults, now);
        self.lower_faulty(faults, now);
        let changed = self.records.iter().zip(before);
        changed
            .filter(|((_, record), before)| record.share.total_cmp(before).is_ne())
            .map(|((agent, record), _)| (agent.clone(), record.share))
            .collect()
    }

    /// The faulty upstreams, the most severe fault first.
    fn faults(&self) -> Vec<Fault> {
        let median_slowness = self.median_slowness();
        let median_failure_rate = median(self.records.values().map(|record| record.failure_rate));
        let records = self.records.iter();
        let candidates = records.filter(|(_, record)| {
            record.has_enough_samples(&self.settings) || record.is_failing_now(URGENT_STREAK)
        });
        let faults = candidates.filter_map(|(agent, record)| {
            let is_failing = record.failure_rate > self.settings.max_failure_rate
                && record.failure_rate > FAILURE_RATIO * median_failure_rate;
            let slowness = (record.slowness - median_slowness).exp();
            let severity = if is_failing { f64::INFINITY } else { slowness };
            (is_failing || slowness > self.settings.straggler_factor).then(|| Fault {
                agent: agent.clone(),
                is_failing,
                severity,
            })
        });
        let mut faults: Vec<Fault> = faults.collect();
        faults.sort_by(|a, b| b.severity.total_cmp(&a.severity));
        faults
    }

    /// The median slowness of the upstreams that have run some tasks. It is not known whether the
    /// others are slow.
    fn median_slowness(&self) -> f64 {
        let records = self.records.values();
        let known = records.filter(|record| record.is_known());
        median(known.map(|record| record.slowness))
    }

    /// Raises the shares of upstreams that are clearly healthy. Between healthy and faulty a
    /// share stays as it is, since it would otherwise oscillate with the noise.
    fn raise_healthy(&mut self, faults: &[Fault], now: Duration) {
        let median = self.median_slowness();
        let healthy_below = self.settings.straggler_factor.ln() / 2.0;
        for (agent, record) in &mut self.records {
            let is_faulty = faults.iter().any(|fault| fault.agent == *agent);
            let is_healthy = !is_faulty && record.slowness - median < healthy_below;
            let has_enough_samples =
                record.share < 1.0 && record.has_enough_samples(&self.settings);
            if record.is_pause_over(now) || (has_enough_samples && is_healthy) {
                record.raise(&self.settings);
            }
        }
    }

    /// Lowers the shares of faulty upstreams, the worst first, up to the bound on the share
    /// withheld in total.
    fn lower_faulty(&mut self, faults: Vec<Fault>, now: Duration) {
        let bound = self.records.len() as f64 * self.settings.max_withheld_share;
        for fault in faults {
            let withheld: f64 = self.records.values().map(|record| 1.0 - record.share).sum();
            let Some(record) = self.records.get_mut(&fault.agent) else {
                continue;
            };
            if withheld + record.next_reduction(fault.is_failing) <= bound {
                record.lower(fault.is_failing, &self.settings, now);
            }
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
