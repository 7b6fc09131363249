//! Jobs that have run out of time.
//!
//! Under overload, a job that cannot be on time any more is refused at once if nothing of it has
//! run, so that its caller learns when to come back and its room goes to a job that can.

use super::{cause, shutdown};
use crate::scheduler::active_job::ActiveJob;
use crate::scheduler::{Action, Answer, Scheduler, job_decision};
use std::time::Duration;

/// The least pause for the caller of a job that was given up before it started.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Ends the jobs that cannot be done in time any more, and answers their callers.
    pub(in crate::scheduler) fn end_hopeless_jobs(
        &mut self,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let hopeless: Vec<u64> = self
            .jobs
            .values()
            .filter(|active| active.is_hopeless(now))
            .map(|active| active.number)
            .collect();
        for number in hopeless {
            let may_have_run = self.jobs.get(&number).is_some_and(ActiveJob::may_have_run);
            if may_have_run {
                self.fail(number, Answer::GivenUp, "out of time", now, actions);
                continue;
            }
            let answer = self.refusal(RETRY_AFTER, true);
            self.refuse(number, answer, "waited too long", now, actions);
        }
    }

    /// Handles the jobs whose latest start passed while they waited. A job of which nothing has
    /// run is refused if others wait that can still be on time. Any other is placed after them.
    pub(in crate::scheduler) fn handle_missed_starts(
        &mut self,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if !self.mechanisms.expiry {
            return;
        }
        let on_time = self.queue.iter().take_while(|rank| !rank.is_late);
        let missed: Vec<u64> = on_time
            .filter(|rank| rank.latest_start < now)
            .map(|rank| rank.number)
            .filter(|number| {
                let keeps_rank = |active: &ActiveJob| {
                    self.mechanisms.kept_rank && active.is_worth_finishing(now)
                };
                let active = self.jobs.get(number);
                active.is_none_or(|active| !keeps_rank(active))
            })
            .collect();
        let others = self.queue.len() - missed.len();
        for number in missed {
            let Some(active) = self.jobs.get_mut(&number) else {
                continue;
            };
            self.queue.remove(&active.rank());
            active.is_late = true;
            self.queue.insert(active.rank());
            if others > 0 && !active.may_have_run() {
                let answer = self.refusal(RETRY_AFTER, true);
                self.refuse(number, answer, "overload", now, actions);
            }
        }
    }

    /// Refuses a job of which nothing has run.
    pub(in crate::scheduler) fn refuse(
        &mut self,
        number: u64,
        answer: Answer,
        reason: &'static str,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let queue = self.queue.len();
        let cause = if reason == shutdown::REASON {
            cause::SHUTDOWN
        } else {
            cause::QUEUE
        };
        if let Some(active) = self.remove(number) {
            let decision = job_decision("refused", &active, now)
                .with("reason", reason)
                .with("queue", queue);
            let decision = self.with_cause(decision, cause, &active, now);
            self.reserve.record_outcome(active.class.priority, false);
            actions.push(Action::Log(decision.failed()));
            actions.push(Action::Answer(number, answer));
        }
    }
}
