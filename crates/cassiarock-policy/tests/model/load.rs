//! Open-loop job arrivals from a seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// The deadline of each job unless a test sets another.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// One job as it arrives.
#[derive(Clone, Debug)]
pub struct Job {
    pub at: Duration,
    pub entry: usize,
    pub kind: usize,
    /// The true run times.
    pub runs: Vec<Duration>,
    /// What the caller declares per task.
    pub declared: Duration,
    /// How long the caller waits.
    pub within: Duration,
    pub team: usize,
}

impl Job {
    pub fn work(&self) -> Duration {
        self.runs.iter().sum()
    }
}

/// A class of jobs: its share of all jobs, and the ranges of the number of tasks and of their
/// run times.
#[derive(Clone, Copy, Debug)]
pub struct JobClass {
    pub share: f64,
    pub tasks: (f64, f64),
    pub millis: (f64, f64),
}

const fn class(share: f64, tasks: (f64, f64), millis: (f64, f64)) -> JobClass {
    JobClass {
        share,
        tasks,
        millis,
    }
}

/// Seat checks, morning assignments, waves of many tasks, and a few long tasks.
pub const ANDES: [JobClass; 4] = [
    class(0.55, (1.0, 1.0), (50.0, 200.0)),
    class(0.35, (8.0, 60.0), (100.0, 1000.0)),
    class(0.08, (100.0, 860.0), (50.0, 300.0)),
    class(0.02, (1.0, 4.0), (2000.0, 6000.0)),
];

/// Sign-offs, alerts, audit packs, and a few long tasks.
pub const ICELAND: [JobClass; 4] = [
    class(0.60, (1.0, 1.0), (50.0, 150.0)),
    class(0.15, (1.0, 5.0), (100.0, 400.0)),
    class(0.23, (20.0, 860.0), (100.0, 1000.0)),
    class(0.02, (1.0, 4.0), (2000.0, 5000.0)),
];

/// Arrivals of the classes `mix` over `length` that use the share `load` of `slots` slots.
/// `skew` is the share of jobs that go to the first entry; the others go to random entries.
pub fn arrivals(
    mix: &[JobClass],
    load: f64,
    slots: usize,
    entries: usize,
    skew: f64,
    length: Duration,
    seed: u64,
) -> Vec<Job> {
    let mut rng = StdRng::seed_from_u64(seed);
    let work: f64 = mix
        .iter()
        .map(|kind| kind.share * mean(kind.tasks) * mean(kind.millis) / 1000.0)
        .sum();
    let rate = load * slots as f64 / work;
    let mut at = 0.0;
    let mut jobs = Vec::new();
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= length.as_secs_f64() {
            return jobs;
        }
        let kind = pick(mix, rng.random());
        let count = log_uniform(&mut rng, mix[kind].tasks).round() as usize;
        let runs = (0..count)
            .map(|_| log_uniform(&mut rng, mix[kind].millis))
            .map(|millis| Duration::from_secs_f64(millis / 1000.0))
            .collect();
        let even = rng.random_range(0..entries);
        let entry = if rng.random::<f64>() < skew { 0 } else { even };
        jobs.push(Job {
            at: Duration::from_secs_f64(at),
            entry,
            kind,
            runs,
            declared: Duration::from_secs_f64(mean(mix[kind].millis) / 1000.0),
            within: DEFAULT_DEADLINE,
            team: 0,
        });
    }
}

fn pick(mix: &[JobClass], mut draw: f64) -> usize {
    for (index, kind) in mix.iter().enumerate() {
        if draw < kind.share {
            return index;
        }
        draw -= kind.share;
    }
    mix.len() - 1
}

fn mean((low, high): (f64, f64)) -> f64 {
    if high == low {
        return low;
    }
    (high - low) / (high / low).ln()
}

fn log_uniform(rng: &mut StdRng, (low, high): (f64, f64)) -> f64 {
    low * (high / low).powf(rng.random::<f64>())
}
