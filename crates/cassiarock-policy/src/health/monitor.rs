//! The judgement of upstreams by their outcomes.

use super::Settings;
use super::record::{Outcome, Record};
use cassiarock_id::Process;
use std::collections::BTreeMap;
use std::time::Duration;

/// How much more often than the others an upstream must fail.
const FAILS_MORE: f64 = 2.0;

/// Failures in a row that are judged at once: an upstream that fails a task in a
/// millisecond would fail hundreds until the next regular judgement.
const STREAK: u32 = 6;

/// An upstream that is judged faulty.
struct Fault {
    agent: Process,
    /// Whether it fails tasks, rather than being slow.
    fails: bool,
    badness: f64,
}

/// Judges upstreams and says which share of its slots each may have.
///
/// Made for upstreams that fail everything at once, and so always look free: they would
/// draw most of the load. Those lose their share at once; slow ones lose it by halves.
/// After a pause one slot is tried, then the share doubles with each good judgement.
/// The share withheld in all is bounded.
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
    judged_at: Option<Duration>,
    is_urgent: bool,
}

impl Monitor {
    /// A monitor that knows no upstream.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
            judged_at: None,
            is_urgent: false,
        }
    }

    /// An upstream announced itself.
    pub fn add(&mut self, agent: Process) {
        let record = Record::new(&self.settings);
        self.records.entry(agent).or_insert(record);
    }

    /// An upstream is gone for good.
    pub fn remove(&mut self, agent: &Process) {
        self.records.remove(agent);
    }

    /// A task ended at `agent`. Rejects are no ends.
    pub fn record(&mut self, agent: &Process, end: Outcome) {
        if let Some(record) = self.records.get_mut(agent) {
            record.add(end);
            self.is_urgent |= record.streak == STREAK;
        }
    }

    /// The share of its slots that `agent` may have, 0 to 1.
    #[must_use]
    pub fn share(&self, agent: &Process) -> f64 {
        self.records.get(agent).map_or(1.0, |record| record.share)
    }

    /// When [`Self::evaluate`] has to be called next; at once if an upstream fails one task
    /// after the other.
    #[must_use]
    pub fn next_evaluation(&self) -> Duration {
        if self.is_urgent {
            return Duration::ZERO;
        }
        let judged = self.judged_at.unwrap_or_default();
        judged + self.settings.evaluation_interval
    }

    /// Judges all upstreams; returns the shares that changed.
    pub fn evaluate(&mut self, now: Duration) -> Vec<(Process, f64)> {
        let last = self.judged_at;
        let is_early = last.is_some_and(|last| now < last + self.settings.evaluation_interval);
        if is_early && !self.is_urgent {
            return Vec::new();
        }
        self.is_urgent = false;
        self.judged_at = Some(now);
        let before: Vec<f64> = self.records.values().map(|record| record.share).collect();
        let faults = self.faults();
        self.raise_the_good(&faults, now);
        self.lower_the_faulty(faults, now);
        let changed = self.records.iter().zip(before);
        changed
            .filter(|((_, record), before)| record.share.total_cmp(before).is_ne())
            .map(|((agent, record), _)| (agent.clone(), record.share))
            .collect()
    }

    fn faults(&self) -> Vec<Fault> {
        let median_slowness = median(self.records.values().map(|record| record.slowness));
        let median_failing = median(self.records.values().map(|record| record.failing));
        let records = self.records.iter();
        let judged = records.filter(|(_, record)| {
            record.is_proved(&self.settings) || record.is_failing_now(STREAK)
        });
        let faults = judged.filter_map(|(agent, record)| {
            let fails = record.failing > self.settings.max_failure_rate
                && record.failing > FAILS_MORE * median_failing;
            let slowness = (record.slowness - median_slowness).exp();
            let badness = if fails { f64::INFINITY } else { slowness };
            (fails || slowness > self.settings.straggler_factor).then(|| Fault {
                agent: agent.clone(),
                fails,
                badness,
            })
        });
        let mut faults: Vec<Fault> = faults.collect();
        faults.sort_by(|a, b| b.badness.total_cmp(&a.badness));
        faults
    }

    /// Gives more to upstreams that are clearly good. Between good and faulty nothing
    /// changes, else a share would go up and down with the noise.
    fn raise_the_good(&mut self, faults: &[Fault], now: Duration) {
        let median = median(self.records.values().map(|record| record.slowness));
        let good = self.settings.straggler_factor.ln() / 2.0;
        for (agent, record) in &mut self.records {
            let is_faulty = faults.iter().any(|fault| fault.agent == *agent);
            let is_good = !is_faulty && record.slowness - median < good;
            let is_proved = record.share < 1.0 && record.is_proved(&self.settings);
            if record.is_over(now) || (is_proved && is_good) {
                record.raise(&self.settings);
            }
        }
    }

    /// The worst first, until the bound on what is withheld.
    fn lower_the_faulty(&mut self, faults: Vec<Fault>, now: Duration) {
        let bound = self.records.len() as f64 * self.settings.max_withheld_share;
        for fault in faults {
            let withheld: f64 = self.records.values().map(|record| 1.0 - record.share).sum();
            let Some(record) = self.records.get_mut(&fault.agent) else {
                continue;
            };
            if withheld + record.next_loss(fault.fails) <= bound {
                record.lower(fault.fails, &self.settings, now);
            }
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
