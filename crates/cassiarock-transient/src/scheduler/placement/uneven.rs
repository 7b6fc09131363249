//! Which kind of upstream gets a task, for bursts on upstreams of several speeds: callers with
//! little time left get the fast ones, those with much leave them to others.

use super::kind::is_of_service;
use super::run_time::RunTime;
use crate::scheduler::Scheduler;
use crate::scheduler::active_job::ActiveJob;
use crate::scheduler::agent::Agent;
use crate::{Job, JobClass};
use std::time::Duration;

/// Kinds whose run times differ by less than this factor count as equally fast.
const SAME_SPEED: f64 = 1.1;

/// The share of the fast room from which on it is scarce. Below it each task finds room there, and
/// on a slow upstream one in ten of those that are safely on time ends late.
const SCARCE_USE: f64 = 0.8;

/// The prospect of a task on an upstream of one kind.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prospect {
    /// The run time there, relative to that on upstreams of usual speed.
    pub(super) ratio: f64,
    /// The same on the fastest kind.
    pub(super) fastest: f64,
    /// When the job is expected to end.
    pub(super) end: Duration,
    /// When the job ends in nine cases of ten.
    pub(super) safe_end: Duration,
    /// When it would end if the task started on the fastest kind now.
    pub(super) fastest_end: Duration,
    /// Until when an answer is on time.
    pub(super) on_time_until: Duration,
}

impl Prospect {
    /// Whether the job would be late because of the kind, and on time on the fastest one. Its task
    /// waits for room there. Once it is late everywhere, it goes anywhere.
    pub(super) fn is_too_slow(&self) -> bool {
        self.ratio > self.fastest * SAME_SPEED
            && self.end > self.on_time_until
            && self.fastest_end <= self.on_time_until
    }

    /// The relative run time that counts in the choice of a place. Once the fast upstreams' room is
    /// scarce, the speed of a place counts the less, the less of that room is left, for a job that is
    /// safely on time here; with all of it taken speed counts nothing, so that slow upstreams are
    /// never sought.
    pub(super) fn weighed_ratio(&self, fast_use: f64) -> f64 {
        if self.safe_end <= self.on_time_until {
            let scarcity = (fast_use - SCARCE_USE) / (1.0 - SCARCE_USE);
            self.ratio.powf(1.0 - scarcity.clamp(0.0, 1.0))
        } else {
            self.ratio
        }
    }
}

impl Scheduler {
    /// The prospect of a task on the agent's upstream, where it is expected to end at `end`. `after`
    /// is the time from then to the end of its job.
    pub(super) fn prospect(
        &self,
        active: &ActiveJob,
        stage: usize,
        agent: &Agent,
        end: Duration,
        now: Duration,
        after: Duration,
    ) -> Prospect {
        let known = self.run_times.of(&active.class.route, &agent.kind);
        let expected = end.saturating_sub(now);
        let fastest = active.expected[stage].mul_f64(active.fastest);
        Prospect {
            ratio: known.mean / active.ratio,
            fastest: active.fastest,
            end: end + after,
            safe_end: now + expected.mul_f64(spread(&known)) + after,
            fastest_end: now + fastest + after,
            on_time_until: active.on_time_until,
        }
    }

    /// The ratio of a route on the fastest kind of upstream; `None` for a job that needs a label,
    /// which the fastest may not have.
    pub(in crate::scheduler) fn fastest_ratio(&self, job: &Job, class: &JobClass) -> Option<f64> {
        if !self.mechanisms.uneven || job.stages.iter().any(|stage| stage.label.is_some()) {
            return None;
        }
        let kinds = self.kind_sizes.keys();
        let kinds = kinds.filter(|kind| is_of_service(kind, &class.service));
        let ratios = kinds.map(|kind| self.run_times.of(&class.route, kind).mean);
        ratios.min_by(f64::total_cmp)
    }

    /// The share of the room of the fastest kinds that is taken.
    pub(in crate::scheduler) fn compute_fast_use(&self) -> f64 {
        let kinds = self.kind_sizes.iter();
        let kinds = kinds.map(|(kind, size)| (self.run_times.of_kind(kind).mean, size));
        let fastest = kinds.clone().map(|(ratio, _)| ratio).min_by(f64::total_cmp);
        let fast =
            kinds.filter(|(ratio, _)| fastest.is_some_and(|least| *ratio <= least * SAME_SPEED));
        let (cores, free) = fast.fold((0.0, 0.0), |(cores, free), (_, size)| {
            (cores + size.cores, free + size.free_cores)
        });
        if cores > 0.0 { 1.0 - free / cores } else { 0.0 }
    }
}

/// The upper quantile of the run time, relative to the mean.
fn spread(known: &RunTime) -> f64 {
    (known.upper / known.mean).max(1.0)
}
