//! Admission control: whether a job is admitted or refused at once.
//!
//! In a burst, or after the loss of upstreams, there is more work than room, and admitting all of
//! it would make every job late. A job is refused at once if the work queued before it would make
//! it late.

use super::expectation::Expected;
use super::{cause, shutdown};
use crate::scheduler::active_job::{ActiveJob, Phase};
use crate::scheduler::{Answer, Scheduler, job_decision};
use crate::{Decision, Resources};
use std::time::Duration;

/// The least pause that a refused caller is asked to make. A random part is added to it, so that
/// callers that were refused together do not come back together.
const BASE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long after its start a process admits jobs without knowing an agent for them. Agents are
/// linked within 300 ms. When all processes start at once, callers have waited for them, and would
/// all be refused.
const STARTUP_GRACE: Duration = Duration::from_secs(1);

/// How long after its start a process does not call a job impossible, because upstreams that it fits
/// may be away. One that has crashed or is being replaced is back within this time.
const KINDS_GRACE: Duration = Duration::from_secs(10);

/// The least pause for a caller whose job no present upstream can run. One is expected back within
/// this time.
const RETRY_AFTER_NO_UPSTREAM: Duration = Duration::from_secs(2);

/// The longest wait that is expected, far longer than callers wait. It keeps the sums of times
/// small, whatever callers say that their tasks take.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

impl Scheduler {
    /// Decides whether to admit a job, with whether it is held for room that has not shown yet. An
    /// error holds the answer to the caller.
    pub(in crate::scheduler) fn admit(
        &self,
        active: &ActiveJob,
        now: Duration,
    ) -> Result<(Decision, bool), (Answer, Decision)> {
        let service = &active.class.service;
        let open: Vec<_> = self
            .agents
            .values()
            .filter(|agent| agent.is_open(now) && agent.serves(service))
            .collect();
        let decision = |kind| job_decision(kind, active, now).with("upstreams", open.len());
        let admit_at_startup = || {
            Ok((
                decision("admitted").with("reason", "agents are still dialling"),
                true,
            ))
        };
        if open.is_empty() && now < STARTUP_GRACE {
            return admit_at_startup();
        }
        if open.is_empty() {
            let decision = decision("refused").with("reason", "no upstream");
            return Err(self.refused_without_upstream(decision));
        }
        let fits = |demand: &Resources| open.iter().any(|agent| demand.fits_in(&agent.capacity()));
        if let Some(stage) = active.job.stages.iter().find(|stage| !fits(&stage.demand)) {
            let with_demand = |decision: Decision| {
                decision
                    .with("cpu", stage.demand.cpu)
                    .with("memory", stage.demand.memory)
            };
            if now < STARTUP_GRACE {
                return admit_at_startup();
            }
            let is_known = self.upstream_kinds.has_room_for(service, &stage.demand);
            if is_known || now < KINDS_GRACE {
                let reason = if is_known {
                    "the upstreams that it fits are away"
                } else {
                    "the upstreams that it fits may be away"
                };
                let decision = decision("refused").with("reason", reason);
                return Err(self.refused_without_upstream(with_demand(decision)));
            }
            return Err((Answer::Failed, with_demand(decision("impossible"))));
        }
        let expected = if self.mechanisms.expectation {
            self.expectation.expected(service, now)
        } else {
            Expected::default()
        };
        let free_cpu: u64 = sum(open.iter().map(|agent| agent.free().cpu));
        let capacity: u64 = sum(open.iter().map(|agent| agent.capacity().cpu));
        let entries = open.iter().map(|agent| u64::from(agent.load.entries));
        let entries = entries.max().unwrap_or(1).max(expected.entries).max(1);
        let (queued_cpu, queued_core_millis) = self.queued_before(active);
        let demand_cpu = queued_cpu.saturating_add(total_cpu(active));
        let wait_with = |expected: Expected| {
            if demand_cpu <= free_cpu.saturating_add(expected.free_cpu) {
                return Duration::ZERO;
            }
            let share = capacity.saturating_add(expected.cpu) as f64 / 1000.0 / entries as f64;
            // At the onset of a burst little has been placed yet. The rate to come is at least an
            // equal share of the system.
            let rate = self.placement_rate.cores(now).max(share).max(1.0);
            time_to_place(queued_core_millis, rate)
        };
        let wait = wait_with(expected);
        let expected_end = now + wait + active.critical_path;
        let decision = |kind| {
            decision(kind)
                .with("wait_ms", wait.as_millis())
                .with("chain_ms", active.critical_path.as_millis())
                .with("queue", self.queue.len())
                .with("free_cpu", free_cpu)
                .with("expected_cpu", expected.free_cpu)
                .with("certainty", format_args!("{:.2}", expected.certainty))
        };
        if self.ends_before(expected_end) {
            let decision = decision("refused")
                .with("reason", shutdown::REASON)
                .with("cause", cause::SHUTDOWN);
            return Err((self.refused_by_shutdown(), decision));
        }
        if expected_end > active.on_time_until && self.mechanisms.admission {
            let answer = self.refusal(BASE_RETRY_AFTER + wait, true);
            let decision = decision("refused").with("reason", "queue");
            let decision = self.with_cause(decision, cause::QUEUE, active, now);
            return Err((answer, decision));
        }
        let end_without = now + wait_with(Expected::default()) + active.critical_path;
        let is_held = end_without > active.on_time_until && self.mechanisms.admission;
        Ok((decision("admitted").with("held", is_held), is_held))
    }

    /// The demand of the waiting tasks queued before `active`: in thousandths of a core, and in
    /// core-milliseconds.
    pub(in crate::scheduler) fn queued_before(&self, active: &ActiveJob) -> (u64, f64) {
        let before = self.queue.range(..active.rank());
        let before = before.filter_map(|rank| self.jobs.get(&rank.number));
        before.fold((0, 0.0), |(cpu, core_millis), job| {
            let core_millis = core_millis + job.waiting_core_millis();
            (cpu.saturating_add(waiting_cpu(job)), core_millis)
        })
    }

    /// A refusal because no present upstream can run the job.
    fn refused_without_upstream(&self, decision: Decision) -> (Answer, Decision) {
        let answer = self.refusal(RETRY_AFTER_NO_UPSTREAM, false);
        (answer, decision.with("cause", cause::NO_UPSTREAM).failed())
    }

    /// A refusal. A random part of up to a half is added to the pause.
    pub(in crate::scheduler) fn refusal(&self, retry_after: Duration, is_overload: bool) -> Answer {
        let spread = retry_after.mul_f64(self.random.below(0.5));
        Answer::Refused {
            retry_after: retry_after + spread,
            is_overload,
        }
    }
}

/// The sum of amounts that callers or other processes name.
pub(super) fn sum(amounts: impl Iterator<Item = u64>) -> u64 {
    amounts.fold(0, u64::saturating_add)
}

/// How long it takes to place so much work at `rate` cores.
fn time_to_place(core_millis: f64, rate: f64) -> Duration {
    let wait = Duration::try_from_secs_f64(core_millis / rate / 1000.0);
    wait.map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
}

/// The processor demand of the tasks that wait, in thousandths of a core.
fn waiting_cpu(active: &ActiveJob) -> u64 {
    let stages = active.job.stages.iter().zip(&active.tasks);
    let demands = stages.map(|(stage, tasks)| {
        let waiting = tasks.iter();
        let waiting = waiting.filter(|task| matches!(task.phase, Phase::Waiting(_)));
        stage.demand.cpu.saturating_mul(waiting.count() as u64)
    });
    sum(demands)
}

/// The processor demand of all tasks, in thousandths of a core.
fn total_cpu(active: &ActiveJob) -> u64 {
    let stages = active.job.stages.iter();
    let demands = stages.map(|stage| stage.demand.cpu.saturating_mul(stage.task_count.into()));
    sum(demands)
}
