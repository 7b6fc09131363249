//! What ends of attempts make of the jobs.

use super::work::{Phase, Task, Work};
use super::{Action, Answer, Latency, Scheduler, told};
use crate::message::{AttemptResult, Outcome};
use cassiarock_id::Process;
use std::time::Duration;

/// The pause before a task is placed again that met an earlier attempt of its own: the
/// upstream needs up to 50 ms to stop that.
const BUSY: Duration = Duration::from_millis(60);

/// The pause before a task is placed again that was turned away for another reason than room:
/// the next heartbeat may show a better place.
const REFUSED: Duration = Duration::from_millis(20);

/// An upstream that has seen higher attempts has them from an earlier submission of the job,
/// which had made few.
const PASSED: u32 = 8;

impl Scheduler {
    /// An attempt ended.
    pub(super) fn settle(
        &mut self,
        from: &Process,
        ending: &AttemptResult,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let number = ending.attempt.number;
        let Some(work) = self.works.get_mut(&number) else {
            return;
        };
        if work.present(from, &ending.attempt).is_none() {
            return;
        }
        work.has_run |= !ending.outcome.is_unstarted();
        let attempts = work.class.max_attempts.max(1);
        let Some(task) = work.present(from, &ending.attempt) else {
            return;
        };
        if let Some(agent) = self.agents.get_mut(from) {
            agent.placed = agent.placed.saturating_sub(1);
        }
        match ending.outcome {
            Outcome::Done => self.done(from, ending, now, actions),
            Outcome::Failed => {
                task.failures += 1;
                let is_over = task.failures >= attempts;
                retry(task, from, now);
                if is_over {
                    let reason = "a task failed too often";
                    self.fail(number, Answer::Failed, reason, now, actions);
                } else {
                    self.requeue(number);
                }
            }
            Outcome::Crashed => self.crashed(from, ending, now, actions),
            end => {
                task.turned += u32::from(end == Outcome::Refused && !task.crashed.is_empty());
                place_again(task, from, end, now);
                self.requeue(number);
            }
        }
    }

    /// An upstream was lost with a task.
    fn crashed(
        &mut self,
        from: &Process,
        ending: &AttemptResult,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let number = ending.attempt.number;
        let is_suspect = self.crashes.lose(from, self.agents.len(), now);
        if !is_suspect {
            self.crashes.clear_common(self.works.values_mut());
        }
        let Some(work) = self.works.get_mut(&number) else {
            return;
        };
        let id = work.job.id.clone();
        let mut line = told("upstream lost", work, now)
            .with("agent", from)
            .with("stage", ending.attempt.stage)
            .with("index", ending.attempt.index)
            .with("ran_ms", ending.ran.as_millis())
            .with("lost_together", !is_suspect);
        if let Some(task) = work.present(from, &ending.attempt) {
            place_again(task, from, ending.outcome, now);
            if is_suspect && self.mechanisms.suspicion {
                task.turned = 0;
                self.crashes.add(&id, &ending.attempt, task, from, now);
            }
            line = line.with("crashes", task.crashed.len());
        }
        actions.push(Action::Log(line.failed()));
        match work.crashed() {
            Some(_) => {
                let reason = "a task of it crashes upstreams";
                self.fail(number, Answer::Failed, reason, now, actions);
            }
            None => self.requeue(number),
        }
    }

    fn done(
        &mut self,
        from: &Process,
        ending: &AttemptResult,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let agent = self.agents.get(from);
        // An end comes from an agent that is known.
        let pace = agent.map_or(1.0, |agent| agent.pace(self.median));
        let Some(work) = self.works.get_mut(&ending.attempt.number) else {
            return;
        };
        let stage = ending.attempt.stage as usize;
        if let Some(task) = work.present(from, &ending.attempt) {
            task.phase = Phase::Done;
            work.left = work.left.saturating_sub(1);
        }
        let estimate = work.job.stages[stage].estimate.as_secs_f64();
        if estimate > 0.0 {
            let ratio = ending.ran.as_secs_f64() / pace / estimate;
            self.ratios.learn(&work.class.route, ratio);
        }
        if work.left == 0 {
            self.complete(ending.attempt.number, now, actions);
        } else if work.has_waiting() {
            self.enqueue(ending.attempt.number);
        }
    }

    fn complete(&mut self, number: u64, now: Duration, actions: &mut Vec<Action>) {
        if let Some(work) = self.remove(number) {
            self.reserve.learn(work.class.priority, now <= work.due);
            let line = told("completed", &work, now)
                .with("on_time", now <= work.due)
                .with("retries", work.retries);
            actions.push(Action::Log(line));
            let took = now.saturating_sub(work.arrived);
            let route = work.class.route.clone();
            actions.push(Action::Measure(Latency::Answer, route, took));
            actions.push(Action::Answer(number, Answer::Completed));
        }
    }

    /// Ends a job that has started, and stops what is left of it.
    pub(super) fn fail(
        &mut self,
        number: u64,
        answer: Answer,
        reason: &'static str,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(work) = self.remove(number) else {
            return;
        };
        if answer == Answer::GivenUp {
            self.reserve.learn(work.class.priority, false);
        }
        let line = told("failed", &work, now).with("reason", reason);
        let line = line
            .with("retries", work.retries)
            .with("places", places(&work))
            .with("crashed", work.crashed().unwrap_or_default());
        actions.push(Action::Log(line.failed()));
        self.halt_all(&work, actions);
        actions.push(Action::Answer(number, answer));
    }

    /// A task of the job has to be placed again.
    pub(super) fn requeue(&mut self, number: u64) {
        if let Some(work) = self.works.get_mut(&number) {
            work.retries += 1;
        }
        self.enqueue(number);
    }

    fn enqueue(&mut self, number: u64) {
        if let Some(work) = self.works.get(&number) {
            self.queue.insert(work.rank());
            self.is_stirred = true;
        }
    }
}

fn places(work: &Work) -> String {
    let places = work.placed();
    let places = places.iter().map(|(agent, _)| agent.to_string());
    places.collect::<Vec<_>>().join(",")
}

/// A task that ran and did not end well: another attempt, elsewhere if possible.
fn retry(task: &mut Task, from: &Process, now: Duration) {
    task.attempt += 1;
    avoid(task, from);
    task.phase = Phase::Waiting(now);
}

/// A task that did not run, or was broken off through no fault of its own.
///
/// Its next attempt has a number of its own also if the last one never started. An agent tells
/// its latest ends again over a new link; with the same number an old refusal would count for
/// the attempt that runs, which would be placed a second time beside it.
pub(super) fn place_again(task: &mut Task, from: &Process, end: Outcome, now: Duration) {
    let later = match end {
        Outcome::Busy => BUSY,
        Outcome::Stale => REFUSED,
        _ => Duration::ZERO,
    };
    if matches!(
        end,
        Outcome::Refused | Outcome::Stopped | Outcome::Lost | Outcome::Crashed
    ) {
        avoid(task, from);
    }
    task.attempt += if end == Outcome::Passed { PASSED } else { 1 };
    task.phase = Phase::Waiting(now + later);
}

fn avoid(task: &mut Task, from: &Process) {
    if !task.avoid.contains(from) {
        task.avoid.push(from.clone());
    }
}
