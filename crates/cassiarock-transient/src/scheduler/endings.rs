//! Handling of attempts that ended, and the completion and failure of jobs.

use super::active_job::{ActiveJob, Phase, Task};
use super::agent::Agent;
use super::{Action, Answer, Latency, Scheduler, job_decision};
use crate::message::{AttemptResult, Outcome, Upstream};
use crate::{Decision, Resources};
use cassiarock_id::Process;
use std::time::Duration;

/// The pause before placing a task again that found an earlier attempt of its own at the upstream,
/// which needs up to 50 ms to stop that.
const BUSY_PAUSE: Duration = Duration::from_millis(60);

/// The pause before placing a task again whose order was too old when it arrived. The next
/// heartbeat may show a better agent.
const STALE_PAUSE: Duration = Duration::from_millis(20);

/// The step of the attempt number if the upstream has seen a higher one. The higher ones are from
/// an earlier submission of the job, which made few attempts.
const PASSED_STEP: u32 = 8;

impl Scheduler {
    /// Handles the end of an attempt. Ends of attempts that are not current are ignored.
    pub(super) fn handle_ending(
        &mut self,
        from: &Process,
        ending: &AttemptResult,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let number = ending.attempt.number;
        let Some(active) = self.jobs.get_mut(&number) else {
            return;
        };
        if active.current_task(from, &ending.attempt).is_none() {
            return;
        }
        active.has_run |= !ending.outcome.is_unstarted();
        let max_attempts = active.class.max_attempts.max(1);
        let Some(task) = active.current_task(from, &ending.attempt) else {
            return;
        };
        if let Some(agent) = self.agents.get_mut(from) {
            agent.placed = agent.placed.saturating_sub(1);
        }
        match ending.outcome {
            Outcome::Done => self.handle_done(from, ending, now, actions),
            Outcome::Failed => {
                task.failures += 1;
                let has_failed = task.failures >= max_attempts;
                retry(task, from, now);
                if has_failed {
                    let reason = "a task failed too often";
                    self.fail(number, Answer::Failed, reason, now, actions);
                } else {
                    self.requeue(number);
                }
            }
            Outcome::Crashed => self.handle_crash(from, ending, now, actions),
            end => {
                task.refusals += u32::from(end == Outcome::Refused && !task.crashes.is_empty());
                place_again(task, from, end, now);
                self.requeue(number);
            }
        }
    }

    /// Handles a task that was lost with its upstream.
    fn handle_crash(
        &mut self,
        from: &Process,
        ending: &AttemptResult,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let number = ending.attempt.number;
        let began = now.saturating_sub(ending.ran);
        let upstream = self.agents.get(from);
        let upstream = upstream.and_then(|agent| agent.upstream_at(began));
        // An upstream that leaves was not crashed by its tasks.
        let staying = upstream.filter(|upstream| !upstream.is_leaving);
        let lost = staying.map(Upstream::incarnation);
        let is_suspect = lost.is_some() && self.crashes.record_loss(from, self.agents.len(), now);
        if lost.is_some() && !is_suspect {
            self.crashes.clear_common(self.jobs.values_mut());
        }
        let Some(active) = self.jobs.get_mut(&number) else {
            return;
        };
        let id = active.job.id.clone();
        let mut decision = job_decision("upstream lost", active, now)
            .with("agent", from)
            .with("stage", ending.attempt.stage)
            .with("index", ending.attempt.index)
            .with("ran_ms", ending.ran.as_millis())
            .with("leaving", lost.is_none())
            .with("lost_together", lost.is_some() && !is_suspect);
        if let Some(task) = active.current_task(from, &ending.attempt) {
            place_again(task, from, ending.outcome, now);
            if let Some(lost) = lost.filter(|_| is_suspect && self.mechanisms.suspicion) {
                task.refusals = 0;
                self.crashes.add(&id, &ending.attempt, task, from, now);
                self.crashes.await_verdict(from, lost);
                task.wait_for_verdict();
            }
            decision = decision.with("crashes", task.crashes.len());
        }
        actions.push(Action::Log(decision.failed()));
        self.requeue(number);
    }

    /// Confirms or refutes the crashes of an agent's upstream, if it has been heard of since, and
    /// fails the jobs with tasks that are now known to crash upstreams.
    pub(super) fn settle_crashes(
        &mut self,
        from: &Process,
        has_results: bool,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(agent) = self.agents.get(from) else {
            return;
        };
        let Some(upstream) = &agent.upstream else {
            return;
        };
        let present = upstream.incarnation();
        let has_room = agent.load.free != Resources::default();
        // One that says that it leaves is alive, and has no room from then on.
        let answers = has_results || has_room || upstream.is_leaving;
        let Some(verdict) = self.crashes.settle(from, &present, answers) else {
            return;
        };
        let decision = Decision::new("upstream heard of again", "", "")
            .with("agent", from)
            .with("upstream", &present)
            .with("verdict", format_args!("{verdict:?}"));
        actions.push(Action::Log(decision));
        let mut at_fault = Vec::new();
        for active in self.jobs.values_mut() {
            for task in active.tasks.iter_mut().flatten() {
                task.settle(|crashes| verdict.apply(crashes, from));
            }
            if active.crashed_agents().is_some() {
                at_fault.push(active.number);
            }
        }
        for number in at_fault {
            let reason = "a task of it crashes upstreams";
            self.fail(number, Answer::Failed, reason, now, actions);
        }
    }

    /// Handles a task that is done: learns from its run time, and completes the job or queues the
    /// tasks that depend on it.
    fn handle_done(
        &mut self,
        from: &Process,
        ending: &AttemptResult,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let agent = self.agents.get(from);
        // The agent is known, since it has just reported the end.
        let pace = agent.map_or(1.0, Agent::pace);
        let kind = agent.map(|agent| agent.kind.clone()).unwrap_or_default();
        let began = now.saturating_sub(ending.ran);
        let is_cold = agent.is_some_and(|agent| agent.tenure.is_cold(began));
        let Some(active) = self.jobs.get_mut(&ending.attempt.number) else {
            return;
        };
        let stage = ending.attempt.stage as usize;
        if let Some(task) = active.current_task(from, &ending.attempt) {
            task.phase = Phase::Done;
            // Whatever the upstreams crashed of, it was not this task.
            task.crashes.clear();
            let index = ending.attempt.index as usize;
            self.crashes.forget(&active.job.id, stage, index);
            active.tasks_left = active.tasks_left.saturating_sub(1);
        }
        let estimate = active.job.stages[stage].estimate.as_secs_f64();
        let usual = self.run_times.of(&active.class.route, &kind).mean / active.ratio;
        let expected = active.expected[stage].as_secs_f64() * usual;
        if is_cold && expected > 0.0 {
            self.cold_pace.observe(ending.ran.as_secs_f64() / expected);
        } else if estimate > 0.0 {
            let ratio = ending.ran.as_secs_f64() / pace / estimate;
            self.run_times.observe(&active.class.route, &kind, ratio);
        }
        if active.tasks_left == 0 {
            self.complete(ending.attempt.number, now, actions);
        } else if active.has_waiting() {
            self.enqueue(ending.attempt.number);
        }
    }

    fn complete(&mut self, number: u64, now: Duration, actions: &mut Vec<Action>) {
        if let Some(active) = self.remove(number) {
            self.reserve
                .record_outcome(active.class.priority, now <= active.on_time_until);
            let decision = job_decision("completed", &active, now)
                .with("on_time", now <= active.on_time_until)
                .with("retries", active.retries);
            actions.push(Action::Log(decision));
            let took = now.saturating_sub(active.arrived);
            let route = active.class.route.clone();
            actions.push(Action::Measure(Latency::Answer, route, took));
            actions.push(Action::Answer(number, Answer::Completed));
        }
    }

    /// Ends a job that has started, and stops its remaining tasks.
    pub(super) fn fail(
        &mut self,
        number: u64,
        answer: Answer,
        reason: &'static str,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.remove(number) else {
            return;
        };
        if answer == Answer::GivenUp {
            self.reserve.record_outcome(active.class.priority, false);
        }
        let decision = job_decision("failed", &active, now)
            .with("reason", reason)
            .with("retries", active.retries)
            .with("places", places(&active))
            .with("crashed", active.crashed_agents().unwrap_or_default());
        actions.push(Action::Log(decision.failed()));
        self.halt_all(&active, actions);
        actions.push(Action::Answer(number, answer));
    }

    /// Counts a retry and queues the job, because one of its tasks has to be placed again.
    pub(super) fn requeue(&mut self, number: u64) {
        if let Some(active) = self.jobs.get_mut(&number) {
            active.retries += 1;
        }
        self.enqueue(number);
    }

    fn enqueue(&mut self, number: u64) {
        if let Some(active) = self.jobs.get(&number) {
            self.queue.insert(active.rank());
            self.may_place = true;
        }
    }
}

/// The agents of the placed tasks, for a decision.
fn places(active: &ActiveJob) -> String {
    let placed = active.placed();
    let agents = placed.iter().map(|(agent, _)| agent.to_string());
    agents.collect::<Vec<_>>().join(",")
}

/// Prepares another attempt, elsewhere if possible, at a task that ran and failed.
fn retry(task: &mut Task, from: &Process, now: Duration) {
    task.attempt += 1;
    add_avoided(task, from);
    task.phase = Phase::Waiting(now);
}

/// Prepares another attempt at a task that did not run, or was aborted through no fault of its own.
///
/// The next attempt has a new number even if the last one never started. An agent reports its
/// latest ends again over a new link: with the same number, an old refusal would count for the
/// running attempt, and the task would be placed a second time beside it.
pub(super) fn place_again(task: &mut Task, from: &Process, end: Outcome, now: Duration) {
    let pause = match end {
        Outcome::Busy => BUSY_PAUSE,
        Outcome::Stale => STALE_PAUSE,
        _ => Duration::ZERO,
    };
    if matches!(
        end,
        Outcome::Refused | Outcome::Stopped | Outcome::Lost | Outcome::Crashed
    ) {
        add_avoided(task, from);
    }
    task.attempt += if end == Outcome::Passed {
        PASSED_STEP
    } else {
        1
    };
    task.phase = Phase::Waiting(now + pause);
}

fn add_avoided(task: &mut Task, from: &Process) {
    if !task.avoided.contains(from) {
        task.avoided.push(from.clone());
    }
}
