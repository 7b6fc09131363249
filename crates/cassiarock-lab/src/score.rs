//! The weighted score of a run (`worth`).

use crate::Scenario;
use crate::scenario::{JobKind, Weights};

/// Width of the time windows that are compared.
const WINDOW_SECONDS: usize = 2;

/// Number of worst windows that are averaged.
const WORST_WINDOWS: usize = 2;

/// Share of a job's worth that is independent of its work.
const FIXED_SHARE: f64 = 0.3;

/// Upper limit of a job's worth, as a multiple of the mean of its kind.
const MAX_SIZE: f64 = 4.0;

/// Worth earned, and the worth had all jobs been answered in time (`owed`).
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

    /// The share earned; 1 if nothing was owed.
    fn share(self) -> f64 {
        if self.owed == 0.0 {
            return 1.0;
        }
        self.earned / self.owed
    }
}

/// How a job counts in the score.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    InTime,
    Late,
    Unserved,
}

/// Accumulates what jobs earn: over the run, by kind and by time window.
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

    /// Counts a job of this kind that arrived in this second. `size` is its work relative to
    /// the mean of its kind.
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

    /// The share of callers that got no useful answer.
    pub(crate) fn unserved(&self) -> f64 {
        self.unserved as f64 / self.asked.max(1) as f64
    }

    /// The weighted sum of the parts.
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
