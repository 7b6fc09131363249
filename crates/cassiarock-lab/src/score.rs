//! What a run is worth to its users: the parts that they weigh.

use crate::Scenario;
use crate::scenario::{JobKind, Weights};

/// The width of the windows that are compared, in seconds.
const WINDOW_SECONDS: usize = 2;

/// How many of the worst windows count.
const WORST_WINDOWS: usize = 2;

/// The share of a job's worth that does not grow with its work.
const FIXED_SHARE: f64 = 0.3;

/// A job is worth at most this many times the mean of its kind.
const MAX_SIZE: f64 = 4.0;

/// What was earned of what was owed.
#[derive(Clone, Copy, Debug, Default)]
struct Earnings {
    earned: f64,
    owed: f64,
}

impl Earnings {
    const fn add(&mut self, owed: f64, earned: f64) {
        self.owed += owed;
        self.earned += earned;
    }

    /// The share earned; all of nothing.
    fn share(self) -> f64 {
        if self.owed == 0.0 {
            return 1.0;
        }
        self.earned / self.owed
    }
}

/// How a job was answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    InTime,
    Late,
    Unserved,
}

/// What jobs earned, by all that users weigh.
#[derive(Debug)]
pub(crate) struct Scorer<'a> {
    scenario: &'a Scenario,
    overall: Earnings,
    kinds: Vec<Earnings>,
    windows: Vec<Earnings>,
    asked: u64,
    unserved: u64,
}

impl<'a> Scorer<'a> {
    pub(crate) fn new(scenario: &'a Scenario) -> Self {
        let seconds = scenario.length.as_secs_f64().ceil() as usize;
        Self {
            scenario,
            overall: Earnings::default(),
            kinds: vec![Earnings::default(); scenario.kinds.len()],
            windows: vec![Earnings::default(); seconds.div_ceil(WINDOW_SECONDS)],
            asked: 0,
            unserved: 0,
        }
    }

    /// Counts a job of this kind that came in this second, of `size` in terms of the mean work
    /// of its kind.
    pub(crate) fn add(&mut self, kind: usize, second: usize, size: f64, outcome: Outcome) {
        let owed = self.scenario.kinds[kind].worth
            * (FIXED_SHARE + (1.0 - FIXED_SHARE) * size).min(MAX_SIZE);
        let earned = match outcome {
            Outcome::InTime => owed,
            Outcome::Late => owed * late_share(&self.scenario.kinds[kind]),
            Outcome::Unserved => 0.0,
        };
        self.overall.add(owed, earned);
        self.kinds[kind].add(owed, earned);
        self.windows[second / WINDOW_SECONDS].add(owed, earned);
        self.asked += 1;
        self.unserved += u64::from(outcome == Outcome::Unserved);
    }

    /// The share of callers that got no answer of use.
    pub(crate) fn unserved(&self) -> f64 {
        self.unserved as f64 / self.asked.max(1) as f64
    }

    /// The parts, weighed.
    pub(crate) fn worth(&self) -> f64 {
        let Weights {
            overall,
            served,
            worst_windows,
            worst_kind,
            unserved_floor,
        } = self.scenario.weights;
        let mut worst: Vec<f64> = self.windows.iter().map(|window| window.share()).collect();
        worst.sort_by(f64::total_cmp);
        worst.truncate(WORST_WINDOWS);
        let window = worst.iter().sum::<f64>() / worst.len().max(1) as f64;
        let kinds = self.kinds.iter().map(|kind| kind.share());
        let nines = self.unserved().max(unserved_floor).log10() / unserved_floor.log10();
        overall * self.overall.share()
            + served * nines
            + worst_windows * window
            + worst_kind * kinds.fold(1.0, f64::min)
    }
}

fn late_share(kind: &JobKind) -> f64 {
    kind.late_worth / kind.worth.max(f64::MIN_POSITIVE)
}
