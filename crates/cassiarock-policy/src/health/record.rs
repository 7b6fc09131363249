//! Statistics of one upstream's outcomes.

use super::Settings;
use std::time::Duration;

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It succeeded and took this multiple of its expected run time.
    Done {
        /// Run time over expected run time.
        slowness: f64,
    },
    /// The worker failed it.
    Failed,
    /// Its outcome is unknown.
    Lost,
}

/// The minimum weight of one outcome in the averages. The first outcomes weigh equally.
const MIN_OUTCOME_WEIGHT: f64 = 0.1;

/// Bound on the slowness of one task, either way. Single tasks vary by more than a faulty
/// upstream slows them down.
const MAX_SLOWNESS: f64 = 8.0;

/// The smallest share above zero: one slot of eight.
pub(super) const TRIAL_SHARE: f64 = 0.125;

/// Outcomes needed to evaluate an upstream that has lost part of its share, or to compare others
/// with it.
const MIN_SAMPLES_REDUCED: u32 = 3;

/// Outcomes of one upstream, and the share of its slots that it gets.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) share: f64,
    /// Moving average of failures.
    pub(super) failure_rate: f64,
    /// Moving average of the logarithm of the slowness.
    pub(super) slowness: f64,
    /// Outcomes since the share last changed.
    pub(super) samples: u32,
    /// Outcomes since the record began.
    outcomes: u32,
    /// Failures since the last success.
    pub(super) streak: u32,
    pub(super) paused_until: Option<Duration>,
    /// The length of the next pause.
    pause: Duration,
}

impl Record {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            share: 1.0,
            failure_rate: 0.0,
            slowness: 0.0,
            samples: 0,
            outcomes: 0,
            streak: 0,
            paused_until: None,
            pause: settings.initial_pause,
        }
    }

    pub(super) fn add(&mut self, outcome: Outcome) {
        self.samples = self.samples.saturating_add(1);
        let is_done = matches!(outcome, Outcome::Done { .. });
        self.streak = if is_done {
            0
        } else {
            self.streak.saturating_add(1)
        };
        let failed = if is_done { 0.0 } else { 1.0 };
        self.outcomes = self.outcomes.saturating_add(1);
        let weight = (1.0 / f64::from(self.outcomes)).max(MIN_OUTCOME_WEIGHT);
        self.failure_rate += weight * (failed - self.failure_rate);
        if let Outcome::Done { slowness } = outcome {
            let log = slowness.clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS).ln();
            self.slowness += weight * (log - self.slowness);
        }
    }

    /// Whether enough tasks have ended since the record began to compare others with it.
    pub(super) const fn is_known(&self) -> bool {
        self.outcomes >= MIN_SAMPLES_REDUCED
    }

    /// How much [`Self::lower`] takes away.
    pub(super) fn next_reduction(&self, at_once: bool) -> f64 {
        if self.share <= TRIAL_SHARE || at_once {
            self.share
        } else {
            self.share / 2.0
        }
    }

    /// Lowers the share by one step, or to zero if `at_once`. That is for upstreams that fail
    /// tasks: they fail tasks quickly, and would fail many during further steps.
    pub(super) fn lower(&mut self, at_once: bool, settings: &Settings, now: Duration) {
        self.samples = 0;
        self.share -= self.next_reduction(at_once);
        if self.share <= 0.0 {
            self.paused_until = Some(now + self.pause);
            self.pause = (self.pause * 2).min(settings.max_pause);
        }
    }

    /// Raises the share by one step. The statistics of a paused upstream are reset.
    pub(super) fn raise(&mut self, settings: &Settings) {
        self.samples = 0;
        if self.paused_until.take().is_some() {
            self.outcomes = 0;
            self.streak = 0;
            self.failure_rate = 0.0;
            self.slowness = 0.0;
            self.share = TRIAL_SHARE;
            return;
        }
        self.share = (self.share * 2.0).min(1.0);
        if self.share >= 1.0 {
            self.pause = settings.initial_pause;
        }
    }

    /// Whether enough tasks have ended since the share last changed. With part of the slots,
    /// fewer tasks end, and slow ones take long.
    pub(super) fn has_enough_samples(&self, settings: &Settings) -> bool {
        let samples = if self.share < 1.0 {
            MIN_SAMPLES_REDUCED
        } else {
            settings.min_samples
        };
        self.paused_until.is_none() && self.samples >= samples
    }

    /// Whether the last `streak` tasks all failed.
    pub(super) const fn is_failing_now(&self, streak: u32) -> bool {
        self.paused_until.is_none() && self.streak >= streak
    }

    pub(super) fn is_pause_over(&self, now: Duration) -> bool {
        self.paused_until.is_some_and(|until| now >= until)
    }
}
