//! A job whose tasks may be started more than once: no claim, no fences, fewer messages.

use super::work::Plan;
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
pub(super) struct Repeat {
    pub(super) ballot: Ballot,
    outcomes: Vec<Option<Outcome>>,
    placed: BTreeMap<Task, Process>,
    /// Placements of each task so far.
    tries: Vec<u32>,
    /// Placements that started nothing.
    rejects: u32,
}

impl Repeat {
    pub(super) fn new(ballot: Ballot, tasks: u16) -> Self {
        Self {
            ballot,
            outcomes: vec![None; usize::from(tasks)],
            placed: BTreeMap::new(),
            tries: vec![0; usize::from(tasks)],
            rejects: 0,
        }
    }

    /// Places a task; the number of its placement.
    pub(super) fn place(&mut self, task: Task, agent: &Process) -> u32 {
        self.placed.insert(task, agent.clone());
        let tries = &mut self.tries[task.index()];
        *tries += 1;
        *tries
    }

    /// Notes a task's end; the first one counts.
    pub(super) fn end(&mut self, task: Task, outcome: Outcome) {
        self.placed.remove(&task);
        if let Some(known) = self.outcomes.get_mut(task.index()) {
            known.get_or_insert(outcome);
        }
    }

    /// Takes back a lost placement; how often the task was tried before that, or none if
    /// the task has an outcome.
    fn lose(&mut self, task: Task) -> Option<u32> {
        self.placed.remove(&task);
        let open = self.outcomes.get(task.index())?.is_none();
        open.then(|| self.tries[task.index()].saturating_sub(1))
    }

    /// The tasks placed at an agent.
    pub(super) fn at(&self, agent: &Process) -> Vec<Task> {
        let placed = self.placed.iter();
        placed
            .filter(|(_, at)| *at == agent)
            .map(|(task, _)| *task)
            .collect()
    }

    /// What is placed now.
    pub(super) fn placed(&self) -> impl Iterator<Item = (Task, &Process, u32)> {
        let placed = self.placed.iter();
        placed.map(|(task, agent)| (*task, agent, self.tries[task.index()]))
    }

    /// The outcomes, if every task has one.
    pub(super) fn whole(&self) -> Option<Vec<Outcome>> {
        self.outcomes.iter().cloned().collect()
    }

    /// Takes back a placement that started nothing; false if it is not the last one.
    pub(super) fn reject(&mut self, task: Task, placement: u32) -> bool {
        let Some(tries) = self.tries.get_mut(task.index()) else {
            return false;
        };
        if *tries != placement || self.placed.remove(&task).is_none() {
            return false;
        }
        self.rejects += 1;
        true
    }

    /// Whether a task may ever have started.
    pub(super) fn any_tried(&self) -> bool {
        self.tries.iter().sum::<u32>() > self.rejects
    }
}

impl State {
    pub(super) fn ended_repeat(
        &mut self,
        job: Job,
        ballot: &Ballot,
        task: Task,
        outcome: Outcome,
        now: Now,
    ) -> Vec<Action> {
        let Some(repeat) = self.repeat(job) else {
            return Vec::new();
        };
        if repeat.ballot != *ballot {
            return Vec::new();
        }
        if matches!(outcome, Outcome::Lost(_)) {
            let Some(tries) = repeat.lose(task) else {
                return Vec::new();
            };
            if self.try_again(job, task, tries, now) {
                return Vec::new();
            }
        }
        if let Some(repeat) = self.repeat(job) {
            repeat.end(task, outcome);
        }
        self.finish_repeat(job, now)
    }

    /// Starts a lost task again, if the budget allows it; after a while, so that tasks
    /// which were lost together do not come back together.
    fn try_again(&mut self, job: Job, task: Task, tries: u32, now: Now) -> bool {
        let Some(work) = self.works.get(&job) else {
            return false;
        };
        if work.stopped.is_some() {
            return false;
        }
        let pool = work.pool.clone();
        let Some(wait) = self.pool(&pool).retry(RetrySafety::Idempotent, tries) else {
            return false;
        };
        metrics::counter!("cassiarock_entry_retries_total").increment(1);
        self.retries.insert((now.up + wait, job, task));
        true
    }

    /// Releases the tasks whose wait is over.
    pub(super) fn retry_due(&mut self, now: Now) {
        while let Some((at, job, task)) = self.retries.first().copied() {
            if at > now.up {
                return;
            }
            self.retries.pop_first();
            self.release(job, vec![task], now);
        }
    }

    /// A start that started nothing costs no try; the task waits again.
    pub(super) fn rejected_repeat(&mut self, rejected: &Rejected, now: Now) -> Vec<Action> {
        let Some(repeat) = self.repeat(rejected.job) else {
            return Vec::new();
        };
        if repeat.ballot != rejected.ballot || !repeat.reject(rejected.task, rejected.placement) {
            return Vec::new();
        }
        if self.works[&rejected.job].stopped.is_some() {
            return self.stop_repeat(rejected.job, now);
        }
        self.release(rejected.job, vec![rejected.task], now);
        Vec::new()
    }

    /// The agent is out of reach: its tasks may have run, and may run again.
    pub(super) fn lost_repeat(&mut self, job: Job, agent: &Process, now: Now) -> Vec<Action> {
        let Some(repeat) = self.repeat(job) else {
            return Vec::new();
        };
        let ballot = repeat.ballot.clone();
        let mut actions = Vec::new();
        for task in repeat.at(agent) {
            let lost = Outcome::Lost(format!("{agent} is out of reach"));
            actions.extend(self.ended_repeat(job, &ballot, task, lost, now));
        }
        actions
    }

    /// Nothing more is to be started. What runs may run to its end; nobody waits for it.
    pub(super) fn stop_repeat(&mut self, job: Job, now: Now) -> Vec<Action> {
        let work = self.works.get(&job);
        let digest = work.map_or(0, |work| work.submission.digest);
        let Some(repeat) = self.repeat(job) else {
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
        actions.extend(self.expire_repeat(job, now));
        actions
    }

    /// Answers with what is known.
    pub(super) fn expire_repeat(&mut self, job: Job, now: Now) -> Vec<Action> {
        let Some(repeat) = self.repeat(job) else {
            return Vec::new();
        };
        let end = if repeat.any_tried() {
            JobOutcome::Failed {
                reason: FailureReason::Expired,
                outcomes: repeat.outcomes.clone(),
            }
        } else {
            JobOutcome::Refused
        };
        let answer = answer::of(&self.works[&job], end);
        self.finish(job, answer, now)
    }

    fn finish_repeat(&mut self, job: Job, now: Now) -> Vec<Action> {
        let Some(outcomes) = self.repeat(job).and_then(|repeat| repeat.whole()) else {
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
        let answer = answer::of(&self.works[&job], end);
        self.finish(job, answer, now)
    }

    fn repeat(&mut self, job: Job) -> Option<&mut Repeat> {
        match &mut self.works.get_mut(&job)?.plan {
            Plan::Repeat(repeat) => Some(repeat),
            Plan::Once(_) => None,
        }
    }
}
