//! Room that is reserved for more urgent jobs.
//!
//! In a burst in a large system, entries share the upstreams and each orders only its own queue,
//! so that freed room goes to whichever entry learns of it first. Jobs that can wait long find
//! room in the end, but urgent ones with eight tasks and 80 ms to spare do not: the most urgent
//! kind was served worst. A job of a less urgent kind therefore starts only while a share of the
//! room is free, a larger one for each step of urgency (trunk reservation). No entry has to know
//! the queues of the others.

use crate::Decision;
use crate::scheduler::active_job::ActiveJob;
use std::collections::BTreeMap;
use std::time::Duration;

/// The share of the room that is kept free for each step of urgency.
const SHARE_PER_STEP: f64 = 0.06;

/// The most steps that count. Without this bound, the least urgent of nine kinds would need half of the
/// room free.
const MAX_STEPS: usize = 3;

/// Room is reserved for a kind only if one of its jobs arrived within this time.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(3);

/// The number of answers that make up two thirds of the moving mean. With far fewer the mean is
/// noise, with far more a burst is over before it shows.
const MEMORY: f64 = 40.0;

/// If less than this share of a more urgent kind is on time, nothing is reserved: far beyond the
/// capacity, reserved room only starves the less urgent kinds.
const MIN_ON_TIME: f64 = 0.6;

/// The most priorities that are remembered; operators use a handful.
const MAX_PRIORITIES: usize = 64;

/// The room that is kept free for more urgent jobs, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::scheduler) struct KeptRoom {
    pub(in crate::scheduler) cpu: u64,
    pub(in crate::scheduler) free: u64,
    /// The kept share of the room.
    pub(in crate::scheduler) share: f64,
}

impl KeptRoom {
    /// Whether a job may start beside the kept room. That is counted in whole tasks of the job, so
    /// that a system with room for a few tasks keeps none of it empty.
    pub(in crate::scheduler) fn allows(&self, active: &ActiveJob) -> bool {
        let stages = active.job.stages.iter();
        let mut demands = stages.map(|stage| stage.demand.cpu.max(1));
        demands.all(|demand| self.free / demand >= self.cpu / demand)
    }

    /// Adds the amounts to a decision.
    pub(in crate::scheduler) fn describe(&self, decision: Decision) -> Decision {
        decision
            .with("kept_cpu", self.cpu)
            .with("free_cpu", self.free)
            .with("kept_percent", (self.share * 100.0).round())
    }
}

/// How jobs of one priority have fared recently.
#[derive(Clone, Copy, Debug)]
struct Record {
    /// The moving mean of the share that was answered on time.
    on_time: f64,
    last_arrival: Duration,
}

/// How jobs have fared, by the operators' priority.
#[derive(Clone, Debug, Default)]
pub(in crate::scheduler) struct Reserve(BTreeMap<u32, Record>);

impl Reserve {
    /// Records that a job of this priority arrived.
    pub(in crate::scheduler) fn record_arrival(&mut self, priority: u32, now: Duration) {
        if self.0.len() >= MAX_PRIORITIES && !self.0.contains_key(&priority) {
            self.0.clear();
        }
        let first = Record {
            on_time: 1.0,
            last_arrival: now,
        };
        self.0.entry(priority).or_insert(first).last_arrival = now;
    }

    /// Records that a job of this priority was answered.
    pub(in crate::scheduler) fn record_outcome(&mut self, priority: u32, is_on_time: bool) {
        if let Some(record) = self.0.get_mut(&priority) {
            let outcome = f64::from(u8::from(is_on_time));
            record.on_time += (outcome - record.on_time) / MEMORY;
        }
    }

    /// The share of the room that has to be free for a job of this priority to start. It is 0 if
    /// this kind already fares worse than a more urgent one.
    pub(in crate::scheduler) fn share_for(&self, priority: u32, now: Duration) -> f64 {
        let urgent = self.0.range(..priority).map(|(_, record)| record);
        let urgent =
            urgent.filter(|record| now.saturating_sub(record.last_arrival) < ARRIVAL_TIMEOUT);
        let (steps, worst) = urgent.fold((0, 1.0), |(steps, worst), record| {
            (steps + 1, record.on_time.min(worst))
        });
        let own = self.0.get(&priority).map_or(1.0, |record| record.on_time);
        if worst < MIN_ON_TIME || own < worst {
            return 0.0;
        }
        steps.min(MAX_STEPS) as f64 * SHARE_PER_STEP
    }
}
