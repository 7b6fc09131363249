//! The admitted work that is not done, by size of job.

use std::time::Duration;

/// Sizes are told apart by powers of two, from 1 ms of work up.
const CLASSES: usize = 32;

/// Over which time rates are averaged, in seconds: some jobs long, yet short enough to
/// follow a morning's rush.
const MEMORY: f64 = 5.0;

/// The part of the service rate that the largest jobs are believed to get, however much
/// smaller work arrives.
const LEAST: f64 = 0.2;

/// How much longer than computed a job is taken to need. A job that is admitted and then
/// misses its deadline costs the slots it used; one refused too many costs less while
/// others wait.
const MARGIN: f64 = 1.3;

/// Work in seconds of slot time.
#[derive(Clone, Debug)]
pub(super) struct Backlog {
    left: [f64; CLASSES],
    /// Arriving work per second.
    arriving: [f64; CLASSES],
    /// Work done per second while there was a backlog.
    service: f64,
    done: f64,
    slots: f64,
    decayed_at: Duration,
}

impl Backlog {
    pub(super) fn new() -> Self {
        Self {
            left: [0.0; CLASSES],
            arriving: [0.0; CLASSES],
            service: 0.0,
            done: 0.0,
            slots: 0.0,
            decayed_at: Duration::ZERO,
        }
    }

    /// The number of slots. Until a backlog shows what this entry's part is, it may well
    /// have them all: the others are idle, or else there is a backlog soon. When
    /// upstreams come or go the part stays the same.
    pub(super) fn set_slots(&mut self, slots: f64) {
        self.service = if self.slots > 0.0 {
            self.service * slots / self.slots
        } else {
            slots
        };
        self.slots = slots;
    }

    pub(super) fn service(&self) -> f64 {
        self.service.max(0.1)
    }

    pub(super) fn add(&mut self, work: f64) {
        let class = class(work);
        self.left[class] += work;
        self.arriving[class] += work / MEMORY;
    }

    pub(super) fn remove(&mut self, class_work: f64, work: f64) {
        let left = &mut self.left[class(class_work)];
        *left = (*left - work).max(0.0);
    }

    pub(super) fn finish(&mut self, class_work: f64, work: f64) {
        self.remove(class_work, work);
        self.done += work;
    }

    /// Work in seconds of all sizes.
    pub(super) fn total(&self) -> f64 {
        self.left.iter().sum()
    }

    /// In how many seconds a job of `work` would end: after what is not larger, at the
    /// rate that smaller work still to come leaves it.
    pub(super) fn end_of(&self, work: f64) -> f64 {
        let class = class(work);
        let ahead: f64 = self.left[..=class].iter().sum();
        let smaller: f64 = self.arriving[..class].iter().sum();
        let service = self.service();
        let rate = (service - smaller).max(service * LEAST);
        MARGIN * (ahead + work) / rate
    }

    /// Brings averages up to `now`. The service rate is learned only while more work
    /// waits than runs at once, since an idle entry shows no limit, and only while upstreams are in reach.
    pub(super) fn decay(&mut self, is_served: bool, now: Duration) {
        let passed = now.saturating_sub(self.decayed_at).as_secs_f64();
        if passed < 0.1 {
            return;
        }
        self.decayed_at = now;
        let keep = (-passed / MEMORY).exp();
        for rate in &mut self.arriving {
            *rate *= keep;
        }
        let measured = self.done / passed;
        self.done = 0.0;
        if is_served && self.total() > self.slots {
            self.service = self.service * keep + measured * (1.0 - keep);
        }
    }
}

fn class(work: f64) -> usize {
    let millis = (work * 1000.0).max(1.0);
    (millis.log2() as usize).min(CLASSES - 1)
}
