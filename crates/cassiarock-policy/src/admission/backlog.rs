//! The admitted work that is not done, by job size.

use std::time::Duration;

/// Number of size classes. Each covers a factor of two, starting at 1 ms of work.
const SIZE_CLASSES: usize = 32;

/// Time constant, in seconds, over which rates are averaged: long enough to cover several
/// jobs, short enough to follow the rush of a morning.
const RATE_DECAY_SECONDS: f64 = 5.0;

/// The share of the service rate that a job is assumed to get, however much smaller work
/// arrives.
const MIN_RATE_SHARE: f64 = 0.2;

/// Factor by which estimated times are increased. A job that is admitted and misses its
/// deadline wastes the slots it used, which costs more than refusing one job too many
/// while others wait.
const ESTIMATE_MARGIN: f64 = 1.3;

/// The admitted work and the rates at which work arrives and is done. All work is in
/// seconds of slot time.
#[derive(Clone, Debug)]
pub(super) struct Backlog {
    /// Admitted work that is not done, by size class.
    remaining: [f64; SIZE_CLASSES],
    /// Arriving work per second, by size class.
    arriving: [f64; SIZE_CLASSES],
    /// Work done per second while there was a backlog.
    service_rate: f64,
    /// Work done since the averages were last updated.
    done: f64,
    slots: f64,
    decayed_at: Duration,
}

impl Backlog {
    pub(super) fn new() -> Self {
        Self {
            remaining: [0.0; SIZE_CLASSES],
            arriving: [0.0; SIZE_CLASSES],
            service_rate: 0.0,
            done: 0.0,
            slots: 0.0,
            decayed_at: Duration::ZERO,
        }
    }

    /// Sets the number of slots. Until a backlog shows this entry's share of them, it is
    /// assumed to have them all: either the other entries are idle, or a backlog forms soon.
    /// When upstreams come or go, the share stays the same.
    pub(super) fn set_slots(&mut self, slots: f64) {
        self.service_rate = if self.slots > 0.0 {
            self.service_rate * slots / self.slots
        } else {
            slots
        };
        self.slots = slots;
    }

    pub(super) fn service_rate(&self) -> f64 {
        self.service_rate.max(0.1)
    }

    pub(super) fn add(&mut self, work: f64) {
        let class = size_class(work);
        self.remaining[class] += work;
        self.arriving[class] += work / RATE_DECAY_SECONDS;
    }

    pub(super) fn remove(&mut self, job_work: f64, work: f64) {
        let remaining = &mut self.remaining[size_class(job_work)];
        *remaining = (*remaining - work).max(0.0);
    }

    pub(super) fn finish(&mut self, job_work: f64, work: f64) {
        self.remove(job_work, work);
        self.done += work;
    }

    /// The remaining work of all size classes.
    pub(super) fn total_work(&self) -> f64 {
        self.remaining.iter().sum()
    }

    /// In how many seconds a job of `work` would end. It runs after all work that is not
    /// larger, at the rate that is left by the smaller work still to arrive.
    pub(super) fn seconds_to_finish(&self, work: f64) -> f64 {
        let class = size_class(work);
        let ahead: f64 = self.remaining[..=class].iter().sum();
        let smaller_arriving: f64 = self.arriving[..class].iter().sum();
        let service_rate = self.service_rate();
        let rate = (service_rate - smaller_arriving).max(service_rate * MIN_RATE_SHARE);
        ESTIMATE_MARGIN * (ahead + work) / rate
    }

    /// Updates the averages. The service rate is learned only while upstreams are reachable
    /// and more work waits than can run at once, since an idle entry reaches no limit.
    pub(super) fn decay(&mut self, is_reachable: bool, now: Duration) {
        let passed = now.saturating_sub(self.decayed_at).as_secs_f64();
        if passed < 0.1 {
            return;
        }
        self.decayed_at = now;
        let keep = (-passed / RATE_DECAY_SECONDS).exp();
        for rate in &mut self.arriving {
            *rate *= keep;
        }
        let measured = self.done / passed;
        self.done = 0.0;
        if is_reachable && self.total_work() > self.slots {
            self.service_rate = self.service_rate * keep + measured * (1.0 - keep);
        }
    }
}

fn size_class(work: f64) -> usize {
    let millis = (work * 1000.0).max(1.0);
    (millis.log2() as usize).min(SIZE_CLASSES - 1)
}
