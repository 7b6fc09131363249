//! Callers of a run: time of arrival, job and patience.

use crate::sample;
use crate::scenario::{DisturbanceKind, JobKind, Scenario};
use cassiarock_transient::{Job, JobClass, Resources, Stage};
use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use std::sync::Arc;
use std::time::Duration;

/// Time of the earliest arrival; links and reports are established by then.
pub(crate) const FIRST_ARRIVAL: Duration = Duration::from_secs(1);

/// Callers leave after this multiple of their objective plus the extra patience of their kind.
const PATIENCE_FACTOR: u32 = 3;

/// One caller with one job.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) at: Duration,
    pub(crate) kind: usize,
    pub(crate) entry: usize,
    pub(crate) job: Job,
    pub(crate) class: Arc<JobClass>,
    /// How long each task runs on an upstream of speed 1.
    pub(crate) runs: Vec<Duration>,
    /// Time from `at` within which an answer is in time.
    pub(crate) objective: Duration,
    /// How long the caller waits for an answer.
    pub(crate) patience: Duration,
    /// Time after which the caller leaves early, if it does.
    pub(crate) leaves_after: Option<Duration>,
    /// Index of a task that crashes each upstream that starts it.
    pub(crate) crashing_task: Option<u32>,
}

impl Caller {
    /// Core-seconds of the job.
    pub(crate) fn work(&self) -> f64 {
        let cores = self.job.stages[0].demand.cpu as f64 / 1000.0;
        self.runs.iter().map(Duration::as_secs_f64).sum::<f64>() * cores
    }
}

/// All callers of a run, in order of arrival.
pub(crate) fn callers(scenario: &Scenario, random: &mut ChaCha12Rng) -> Vec<Caller> {
    let mut callers = Vec::new();
    for (number, kind) in scenario.kinds.iter().enumerate() {
        let class = Arc::new(class(kind));
        let mut at = 0.0;
        loop {
            let rate = kind.rate * burst_factor(scenario, kind, at);
            // An interval drawn at a low rate may skip the start of a burst, so it is cut at each step.
            let next = at + sample::interval(rate, random);
            let step = at + RATE_STEP_SECONDS;
            if next > step {
                at = step;
            } else {
                at = next;
                callers.push(caller(scenario, number, &class, at, random));
            }
            if at >= scenario.length.as_secs_f64() {
                break;
            }
        }
    }
    callers.retain(|caller| caller.at < FIRST_ARRIVAL + scenario.length);
    callers.sort_by_key(|caller| caller.at);
    for (number, caller) in callers.iter_mut().enumerate() {
        caller.job.id = format!("{number:016x}").into();
        caller.job.request = format!("r-{number}").into();
    }
    callers
}

/// Interval after which the arrival rate is evaluated again. The exponential distribution is
/// memoryless, so cutting an interval changes nothing but the rate.
const RATE_STEP_SECONDS: f64 = 0.1;

fn burst_factor(scenario: &Scenario, kind: &JobKind, at: f64) -> f64 {
    let at = Duration::from_secs_f64(at);
    let bursts = scenario.disturbances.iter();
    let bursts = bursts.filter(|disturbance| {
        disturbance.kind == DisturbanceKind::Burst && disturbance.is_active(at)
    });
    let bursts = bursts.filter(|disturbance| disturbance.affects_kind(&kind.name));
    bursts.map(|disturbance| disturbance.factor).product()
}

fn class(kind: &JobKind) -> JobClass {
    JobClass {
        route: kind.name.clone(),
        service: "s".into(),
        priority: kind.priority,
        max_attempts: kind.max_attempts,
        slack_factor: kind.slack_factor,
        target_latency: kind.target_latency,
        version: 1,
    }
}

fn caller(
    scenario: &Scenario,
    number: usize,
    class: &Arc<JobClass>,
    at: f64,
    random: &mut ChaCha12Rng,
) -> Caller {
    let kind = &scenario.kinds[number];
    let tasks = sample::amount(&kind.task_count, random).round().max(1.0) as u32;
    let cores = sample::amount(&kind.cores, random).max(0.001);
    let typical = sample::length(&kind.run_time, random);
    let runs: Vec<Duration> = (0..tasks)
        .map(|_| typical.mul_f64(sample::error_factor(RUN_TIME_VARIATION, random)))
        .collect();
    let longest = runs.iter().max().copied().unwrap_or_default();
    let objective = longest.mul_f64(kind.slack_factor) + kind.target_latency;
    let offset = Duration::from_secs_f64(at);
    let leaving = scenario.disturbances.iter().find(|disturbance| {
        disturbance.kind == DisturbanceKind::Leaving
            && disturbance.is_active(offset)
            && disturbance.affects_kind(&kind.name)
    });
    let leaves_after =
        leaving.filter(|disturbance| random.random_range(0.0..1.0) < disturbance.factor);
    let leaves_after = leaves_after.map(|_| objective.mul_f64(random.random_range(0.0..1.0)));
    let crashes = kind.crash_share > 0.0 && random.random_range(0.0..1.0) < kind.crash_share;
    let crashing_task = crashes.then(|| random.random_range(0..tasks));
    Caller {
        at: FIRST_ARRIVAL + offset,
        kind: number,
        entry: entry(scenario, random),
        job: Job {
            id: "".into(),
            request: "".into(),
            spec: "".into(),
            stages: vec![Stage {
                task_count: tasks,
                demand: Resources::new((cores * 1000.0) as u64, kind.memory_mib, 0),
                estimate: typical.mul_f64(sample::error_factor(kind.estimate_error, random)),
                ..Stage::default()
            }],
        },
        class: class.clone(),
        runs,
        objective,
        patience: objective * PATIENCE_FACTOR + kind.extra_patience,
        leaves_after,
        crashing_task,
    }
}

/// Maximum relative deviation of the run times of a job's tasks from the job's typical run time.
const RUN_TIME_VARIATION: f64 = 0.15;

fn entry(scenario: &Scenario, random: &mut ChaCha12Rng) -> usize {
    let all: f64 = scenario.entries.iter().map(|entry| entry.share).sum();
    let mut at = random.random_range(0.0..all);
    for (number, entry) in scenario.entries.iter().enumerate() {
        if at < entry.share {
            return number;
        }
        at -= entry.share;
    }
    scenario.entries.len() - 1
}
