//! Results of a simulation, as JSON and as text.

use cassiarock_id::Name;
use serde::Serialize;
use std::fmt;

/// Outcomes of the callers of one kind of jobs. Callers who left early by themselves are left
/// out.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct KindResult {
    /// Name of the kind.
    pub name: Name,
    /// Number of counted callers.
    pub asked: u64,
    /// Answered in time.
    pub in_time: u64,
    /// Answered late.
    pub late: u64,
    /// Refused: nothing ran, and the answer says when to try again.
    pub refused: u64,
    /// Given up after tasks had run.
    pub given_up: u64,
    /// Answered as failed.
    pub failed: u64,
    /// Left unanswered at the end of their patience.
    pub unanswered: u64,
}

/// Results of the run of one seed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SeedResult {
    /// The seed.
    pub seed: u64,
    /// Outcomes by kind.
    pub kinds: Vec<KindResult>,
    /// The share answered in time.
    pub in_time: f64,
    /// Upper bound on the share that any scheduler could have answered in time.
    #[serde(rename = "bound")]
    pub in_time_bound: f64,
    /// Score by the scenario's weights; resource prices are not included.
    pub worth: f64,
    /// The share that got no useful answer.
    pub unserved: f64,
    /// The share answered in time, by second of arrival.
    #[serde(rename = "seconds")]
    pub in_time_by_second: Vec<f64>,
    /// The share of the upstreams' work that led to no answer.
    #[serde(rename = "thrown")]
    pub wasted_work: f64,
    /// Time to a refusal, in ms: median and 99th percentile.
    pub refusal_ms: (f64, f64),
    /// Messages between entries and agents per task started, without heartbeats.
    #[serde(rename = "frames")]
    pub frames_per_task: f64,
    /// Heartbeats between entries and agents per task started.
    #[serde(rename = "heartbeats")]
    pub heartbeats_per_task: f64,
    /// Share of the ordered tasks that agents rejected because their upstream was full.
    pub turned_away: f64,
    /// Jain's fairness index of the shares answered in time, over kinds.
    #[serde(rename = "fair_kinds")]
    pub kind_fairness: f64,
    /// Jain's fairness index of the shares answered in time, over entries.
    #[serde(rename = "fair_entries")]
    pub entry_fairness: f64,
    /// Maximum number of unanswered jobs at one entry.
    #[serde(rename = "queue")]
    pub max_queue: usize,
    /// Upstream crashes caused by tasks.
    pub crashes: u64,
    /// Violated invariants.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// Results of all seeds of a scenario; shares are means over the seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScenarioResult {
    /// The share answered in time.
    pub in_time: f64,
    /// Upper bound on the share that any scheduler could have answered in time.
    #[serde(rename = "bound")]
    pub in_time_bound: f64,
    /// Score by the scenario's weights; resource prices are not included.
    pub worth: f64,
    /// Standard deviation of `worth` over the seeds.
    #[serde(rename = "scatter")]
    pub worth_deviation: f64,
    /// The share that got no useful answer.
    pub unserved: f64,
    /// The share of the upstreams' work that led to no answer.
    #[serde(rename = "thrown")]
    pub wasted_work: f64,
    /// Violated invariants, with their seed.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Results by seed.
    pub seeds: Vec<SeedResult>,
}

impl ScenarioResult {
    pub(crate) fn new(seeds: Vec<SeedResult>) -> Self {
        let mean = |value: fn(&SeedResult) -> f64| {
            seeds.iter().map(value).sum::<f64>() / seeds.len().max(1) as f64
        };
        let violations = seeds.iter().flat_map(|seed| {
            let told = seed.violations.iter();
            told.map(|fault| format!("seed {}: {fault}", seed.seed))
        });
        let worth = mean(|seed| seed.worth);
        let squares = seeds.iter().map(|seed| (seed.worth - worth).powi(2));
        let worth_deviation = (squares.sum::<f64>() / seeds.len().max(1) as f64).sqrt();
        Self {
            worth,
            worth_deviation,
            unserved: mean(|seed| seed.unserved),
            in_time: mean(|seed| seed.in_time),
            in_time_bound: mean(|seed| seed.in_time_bound),
            wasted_work: mean(|seed| seed.wasted_work),
            violations: violations.collect(),
            seeds,
        }
    }

    /// Outcomes by kind, summed over the seeds.
    #[must_use]
    pub fn totals_by_kind(&self) -> Vec<KindResult> {
        let mut sums: Vec<KindResult> = Vec::new();
        for kind in self.seeds.iter().flat_map(|seed| &seed.kinds) {
            match sums.iter_mut().find(|sum| sum.name == kind.name) {
                Some(sum) => sum.add(kind),
                None => sums.push(kind.clone()),
            }
        }
        sums
    }
}

impl KindResult {
    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.given_up += other.given_up;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
    }

    /// The share answered in time.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }
}

/// Jain's fairness index: 1 if all shares are equal, 1/n if one of n has everything.
pub(crate) fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (shares.len() as f64 * squares)
}

impl fmt::Display for ScenarioResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<20} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>10}",
            "kind", "asked", "in time", "late", "refused", "given up", "failed", "unanswered"
        )?;
        for kind in self.totals_by_kind() {
            let share = |count: u64| count as f64 / kind.asked.max(1) as f64;
            writeln!(
                f,
                "{:<20} {:>8} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>10.3}",
                &*kind.name,
                kind.asked,
                share(kind.in_time),
                share(kind.late),
                share(kind.refused),
                share(kind.given_up),
                share(kind.failed),
                share(kind.unanswered)
            )?;
        }
        for seed in &self.seeds {
            writeln!(
                f,
                "seed {}: worth {:.3}, not served {:.4}; in time {:.3} of at most {:.3}; work thrown away {:.3}; refusals after {:.0} ms \
                 (99th percentile {:.0}); {:.2} frames a task and {:.2} heartbeats; {:.3} of orders turned away; fair over kinds {:.3}, over entries {:.3}; \
                 longest queue {}",
                seed.seed,
                seed.worth,
                seed.unserved,
                seed.in_time,
                seed.in_time_bound,
                seed.wasted_work,
                seed.refusal_ms.0,
                seed.refusal_ms.1,
                seed.frames_per_task,
                seed.heartbeats_per_task,
                seed.turned_away,
                seed.kind_fairness,
                seed.entry_fairness,
                seed.max_queue
            )?;
        }
        for fault in &self.violations {
            writeln!(f, "BROKEN {fault}")?;
        }
        write!(
            f,
            "worth {:.3} (scatter {:.3}), not served {:.4}, in time {:.3} of at most {:.3}, work thrown away {:.3}",
            self.worth,
            self.worth_deviation,
            self.unserved,
            self.in_time,
            self.in_time_bound,
            self.wasted_work
        )
    }
}
