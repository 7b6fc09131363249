//! Jobs whose tasks may be started more than once: no claim, no fences and fewer messages.

use super::pending::Plan;
use super::{Action, State, answer};
use cassiarock_claim::Ballot;
use cassiarock_claim::message::{Cancel, Outcome};
use cassiarock_claim::owner::{FailureReason, JobOutcome};
use cassiarock_id::{Job, Process, Task};
use cassiarock_policy::retry::RetrySafety;
use cassiarock_process::Now;
use cassiarock_wire::{Frame, Rejected};
use std::collections::BTreeMap;

/// The tasks of a repeatable job.
#[derive(Debug)]
pub(super) struct RepeatableJob {
    pub(super) ballot: Ballot,
    outcomes: Vec<Option<Outcome>>,
    placed: BTreeMap<Task, Process>,
    /// The number of placements of each task so far.
    attempts: Vec<u32>,
    /// The number of placements that did not start the task.
    rejected_placements: u32,
}

impl RepeatableJob {
    pub(super) fn new(ballot: Ballot, tasks: u16) -> Self {
        Self {
            ballot,
            outcomes: vec![None; usize::from(tasks)],
            placed: BTreeMap::new(),
            attempts: vec![0; usize::from(tasks)],
            rejected_placements: 0,
        }
    }

    /// Places a task and returns the number of its placement.
    pub(super) fn place(&mut self, task: Task, agent: &Process) -> u32 {
        self.placed.insert(task, agent.clone());
        let attempts = &mut self.attempts[task.index()];
        *attempts += 1;
        *attempts
    }

    /// Records the outcome of a task; the first one counts.
    pub(super) fn record_outcome(&mut self, task: Task, outcome: Outcome) {
        self.placed.remove(&task);
        if let Some(known) = self.outcomes.get_mut(task.index()) {
            known.get_or_insert(outcome);
        }
    }

    /// Undoes a lost placement. Returns how often the task was placed before, or `None` if the
    /// task has an outcome.
    fn undo_placement(&mut self, task: Task) -> Option<u32> {
        self.placed.remove(&task);
        let open = self.outcomes.get(task.index())?.is_none();
        open.then(|| self.attempts[task.index()].saturating_sub(1))
    }

    /// The tasks placed at an agent.
    pub(super) fn tasks_at(&self, agent: &Process) -> Vec<Task> {
        let placed = self.placed.iter();
        placed
            .filter(|(_, at)| *at == agent)
            .map(|(task, _)| *task)
            .collect()
    }

    /// The placed tasks, each with its agent and the number of its placement.
    pub(super) fn placed(&self) -> impl Iterator<Item = (Task, &Process, u32)> {
        let placed = self.placed.iter();
        placed.map(|(task, agent)| (*task, agent, self.attempts[task.index()]))
    }

    /// The outcomes of all tasks, if every task has one.
    pub(super) fn all_outcomes(&self) -> Option<Vec<Outcome>> {
        self.outcomes.iter().cloned().collect()
    }

    /// Undoes a placement that did not start the task. Returns false if it is not the last one.
    pub(super) fn reject(&mut self, task: Task, placement: u32) -> bool {
        let Some(attempts) = self.attempts.get_mut(task.index()) else {
            return false;
        };
        if *attempts != placement || self.placed.remove(&task).is_none() {
            return false;
        }
        self.rejected_placements += 1;
        true
    }

    /// Whether a task may ever have started.
    pub(super) fn may_have_started(&self) -> bool {
        self.attempts.iter().sum::<u32>() > self.rejected_placements
    }
}

impl State {
    pub(super) fn handle_repeatable_end(
        &mut self,
        job: Job,
        ballot: &Ballot,
        task: Task,
        outcome: Outcome,
        now: Now,
    ) -> Vec<Action> {
        let Some(repeat) = self.repeatable_job(job) else {
            return Vec::new();
        };
        if repeat.ballot != *ballot {
            return Vec::new();
        }
        if matches!(outcome, Outcome::Lost(_)) {
            let Some(attempts) = repeat.undo_placement(task) else {
                return Vec::new();
            };
            if self.schedule_retry(job, task, attempts, now) {
                return Vec::new();
            }
        }
        if let Some(repeat) = self.repeatable_job(job) {
            repeat.record_outcome(task, outcome);
        }
        self.finish_repeatable(job, now)
    }

    /// Schedules a lost task for another start if the retry budget allows it. The delay spreads
    /// tasks that were lost together, so that they do not start again at the same time.
    fn schedule_retry(&mut self, job: Job, task: Task, attempts: u32, now: Now) -> bool {
        let Some(pending) = self.pending_jobs.get(&job) else {
            return false;
        };
        if pending.stopped.is_some() {
            return false;
        }
        let pool = pending.pool.clone();
        let Some(wait) = self.pool(&pool).retry(RetrySafety::Idempotent, attempts) else {
            return false;
        };
        metrics::counter!("cassiarock_entry_retries_total").increment(1);
        self.retries.insert((now.up + wait, job, task));
        true
    }

    /// Releases the tasks whose retry delay is over.
    pub(super) fn release_due_retries(&mut self, now: Now) {
        while let Some((at, job, task)) = self.retries.first().copied() {
            if at > now.up {
                return;
            }
            self.retries.pop_first();
            self.release(job, vec![task], now);
        }
    }

    /// Queues a rejected task again. A start that was rejected does not count as an attempt.
    pub(super) fn handle_repeatable_reject(
        &mut self,
        rejected: &Rejected,
        now: Now,
    ) -> Vec<Action> {
        let Some(repeat) = self.repeatable_job(rejected.job) else {
            return Vec::new();
        };
        if repeat.ballot != rejected.ballot || !repeat.reject(rejected.task, rejected.placement) {
            return Vec::new();
        }
        if self.pending_jobs[&rejected.job].stopped.is_some() {
            return self.stop_repeatable(rejected.job, now);
        }
        self.release(rejected.job, vec![rejected.task], now);
        Vec::new()
    }

    /// The agent is unreachable: its tasks of the job may have run, and may run again.
    pub(super) fn handle_repeatable_loss(
        &mut self,
        job: Job,
        agent: &Process,
        now: Now,
    ) -> Vec<Action> {
        let Some(repeat) = self.repeatable_job(job) else {
            return Vec::new();
        };
        let ballot = repeat.ballot.clone();
        let mut actions = Vec::new();
        for task in repeat.tasks_at(agent) {
            let lost = Outcome::Lost(format!("{agent} is out of reach"));
            actions.extend(self.handle_repeatable_end(job, &ballot, task, lost, now));
        }
        actions
    }

    /// Starts no more tasks and asks the agents to cancel the placed ones. Does not wait for
    /// those that run.
    pub(super) fn stop_repeatable(&mut self, job: Job, now: Now) -> Vec<Action> {
        let pending = self.pending_jobs.get(&job);
        let digest = pending.map_or(0, |pending| pending.submission.digest);
        let Some(repeat) = self.repeatable_job(job) else {
            return Vec::new();
        };
        let ballot = repeat.ballot.clone();
        let cancels = repeat.placed().map(|(task, agent, placement)| {
            let cancel = Cancel {
                job,
                digest,
                ballot: ballot.clone(),
                task,
                placement,
            };
            Action::Send(agent.clone(), Frame::Cancel(cancel))
        });
        let mut actions: Vec<Action> = cancels.collect();
        actions.extend(self.expire_repeatable(job, now));
        actions
    }

    /// Ends the job with the outcomes known so far.
    pub(super) fn expire_repeatable(&mut self, job: Job, now: Now) -> Vec<Action> {
        let Some(repeat) = self.repeatable_job(job) else {
            return Vec::new();
        };
        let end = if repeat.may_have_started() {
            JobOutcome::Failed {
                reason: FailureReason::Expired,
                outcomes: repeat.outcomes.clone(),
            }
        } else {
            JobOutcome::Refused
        };
        let answer = answer::from_outcome(&self.pending_jobs[&job], end);
        self.finish(job, answer, now)
    }

    fn finish_repeatable(&mut self, job: Job, now: Now) -> Vec<Action> {
        let Some(outcomes) = self
            .repeatable_job(job)
            .and_then(|repeat| repeat.all_outcomes())
        else {
            return Vec::new();
        };
        let lost = outcomes.iter().any(|o| matches!(o, Outcome::Lost(_)));
        let end = if lost {
            JobOutcome::Failed {
                reason: FailureReason::Lost,
                outcomes: outcomes.into_iter().map(Some).collect(),
            }
        } else {
            JobOutcome::Complete(outcomes)
        };
        let answer = answer::from_outcome(&self.pending_jobs[&job], end);
        self.finish(job, answer, now)
    }

    fn repeatable_job(&mut self, job: Job) -> Option<&mut RepeatableJob> {
        match &mut self.pending_jobs.get_mut(&job)?.plan {
            Plan::Repeatable(repeat) => Some(repeat),
            Plan::AtMostOnce(_) => None,
        }
    }
}
