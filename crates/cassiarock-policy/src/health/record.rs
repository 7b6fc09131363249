//! What is known of one upstream's outcomes.

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
    /// Nothing was heard of it.
    Lost,
}

/// The least weight of one outcome; the first ones count equally.
const WEIGHT: f64 = 0.1;

/// Single tasks differ by more than a faulty upstream does.
const WIDEST: f64 = 8.0;

/// The smallest share above none: one slot of eight.
pub(super) const TRIAL: f64 = 0.125;

/// Outcomes that decide about an upstream that has lost part of its share.
const FEW_SAMPLES: u32 = 3;

/// Outcomes of one upstream, and the share of its slots that it gets.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) share: f64,
    pub(super) failing: f64,
    /// Mean of the logarithm of the slowness.
    pub(super) slowness: f64,
    pub(super) samples: u32,
    /// Outcomes since the record began.
    ended: u32,
    /// Failures since the last success.
    pub(super) streak: u32,
    pub(super) paused_until: Option<Duration>,
    pause: Duration,
}

impl Record {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            share: 1.0,
            failing: 0.0,
            slowness: 0.0,
            samples: 0,
            ended: 0,
            streak: 0,
            paused_until: None,
            pause: settings.initial_pause,
        }
    }

    pub(super) fn add(&mut self, end: Outcome) {
        self.samples = self.samples.saturating_add(1);
        let is_done = matches!(end, Outcome::Done { .. });
        self.streak = if is_done {
            0
        } else {
            self.streak.saturating_add(1)
        };
        let failed = if is_done { 0.0 } else { 1.0 };
        self.ended = self.ended.saturating_add(1);
        let weight = (1.0 / f64::from(self.ended)).max(WEIGHT);
        self.failing += weight * (failed - self.failing);
        if let Outcome::Done { slowness } = end {
            let log = slowness.clamp(1.0 / WIDEST, WIDEST).ln();
            self.slowness += weight * (log - self.slowness);
        }
    }

    /// How much [`Self::lower`] takes away.
    pub(super) fn next_loss(&self, at_once: bool) -> f64 {
        if self.share <= TRIAL || at_once {
            self.share
        } else {
            self.share / 2.0
        }
    }

    /// One step down. `at_once` is for upstreams that fail tasks quickly: each further
    /// step would cost as many tasks as they can fail meanwhile.
    pub(super) fn lower(&mut self, at_once: bool, settings: &Settings, now: Duration) {
        self.samples = 0;
        self.share -= self.next_loss(at_once);
        if self.share <= 0.0 {
            self.paused_until = Some(now + self.pause);
            self.pause = (self.pause * 2).min(settings.max_pause);
        }
    }

    /// One step up; the record of a paused upstream starts anew.
    pub(super) fn raise(&mut self, settings: &Settings) {
        self.samples = 0;
        if self.paused_until.take().is_some() {
            self.ended = 0;
            self.streak = 0;
            self.failing = 0.0;
            self.slowness = 0.0;
            self.share = TRIAL;
            return;
        }
        self.share = (self.share * 2.0).min(1.0);
        if self.share >= 1.0 {
            self.pause = settings.initial_pause;
        }
    }

    /// Whether enough has ended since the last change to judge it. With a part of the slots
    /// fewer tasks end, and slow ones take long.
    pub(super) fn is_proved(&self, settings: &Settings) -> bool {
        let samples = if self.share < 1.0 {
            FEW_SAMPLES
        } else {
            settings.min_samples
        };
        self.paused_until.is_none() && self.samples >= samples
    }

    /// Whether the last `streak` tasks all failed.
    pub(super) const fn is_failing_now(&self, streak: u32) -> bool {
        self.paused_until.is_none() && self.streak >= streak
    }

    pub(super) fn is_over(&self, now: Duration) -> bool {
        self.paused_until.is_some_and(|until| now >= until)
    }
}
