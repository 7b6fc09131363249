//! What really happened, and the promises.

use super::TASKS;
use crate::claim::message::Outcome;
use crate::claim::owner::{FailureReason, JobOutcome};
use cassiarock_id::{Job, Process, Task};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Default)]
pub struct Truth {
    begun: BTreeMap<(Job, Task), Process>,
    pub refused: BTreeSet<Job>,
    /// Tasks told as not run of jobs that were cancelled after others had run.
    unrun: BTreeSet<(Job, Task)>,
    pub refusals: usize,
    answered: BTreeSet<u32>,
    pub complete: usize,
    /// Complete answers of owners that had gathered.
    pub gathered: usize,
    pub mismatches: usize,
    pub failed: BTreeMap<String, usize>,
    /// The first broken promise.
    pub violation: Option<String>,
}

impl Truth {
    pub fn begin(&mut self, job: Job, task: Task, agent: &Process) {
        if let Some(first) = self.begun.insert((job, task), agent.clone()) {
            self.broken(format!("{job}/{task} began at {first} and at {agent}"));
        }
        if self.unrun.contains(&(job, task)) {
            self.broken(format!(
                "{job}/{task} was told as not run and began at {agent}"
            ));
        }
        if self.refused.contains(&job) {
            self.broken(format!("{job} was refused and began at {agent}"));
        }
    }

    /// The begin did not reach the worker.
    pub fn revert(&mut self, job: Job, task: Task) {
        self.begun.remove(&(job, task));
    }

    /// The one right outcome of a task.
    pub fn outcome(job: Job, task: Task, digest: u64) -> Outcome {
        Outcome::Done(format!("{job}/{task}/{digest}").into_bytes())
    }

    pub fn answer(&mut self, submission: u32, job: Job, digest: u64, end: &JobOutcome) {
        if !self.answered.insert(submission) {
            self.broken(format!("submission {submission} got two answers"));
        }
        match end {
            JobOutcome::Complete(outcomes) => self.complete(job, digest, outcomes),
            JobOutcome::Refused => self.refused(job),
            JobOutcome::Failed { reason, outcomes } => {
                if *reason == FailureReason::Cancelled {
                    self.cancelled(job, outcomes);
                }
                *self.failed.entry(format!("{reason:?}")).or_default() += 1
            }
            JobOutcome::Mismatch => self.mismatches += 1,
        }
    }

    fn complete(&mut self, job: Job, digest: u64, outcomes: &[Outcome]) {
        self.complete += 1;
        let right = (0..TASKS).map(|task| Self::outcome(job, Task(task), digest));
        if !right.eq(outcomes.iter().cloned()) {
            self.broken(format!("{job} got the answer {outcomes:?}"));
        }
        if (0..TASKS).any(|task| !self.begun.contains_key(&(job, Task(task)))) {
            self.broken(format!("{job} is complete and was not run"));
        }
    }

    fn cancelled(&mut self, job: Job, outcomes: &[Option<Outcome>]) {
        let unrun = (0..TASKS).map(Task).zip(outcomes);
        let unrun = unrun.filter(|(_, outcome)| outcome.is_none());
        for key in unrun.map(|(task, _)| (job, task)).collect::<Vec<_>>() {
            if self.begun.contains_key(&key) {
                self.broken(format!("{job}/{} had begun and was told as not run", key.1));
            }
            self.unrun.insert(key);
        }
    }

    fn refused(&mut self, job: Job) {
        self.refused.insert(job);
        if self.begun.keys().any(|(other, _)| *other == job) {
            self.broken(format!("{job} had begun and was refused"));
        }
    }

    fn broken(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }
}
