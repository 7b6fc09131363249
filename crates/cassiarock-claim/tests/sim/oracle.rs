//! What really happened in a run, and the check of the protocol's guarantees against it.

use super::TASKS_PER_JOB;
use crate::claim::message::Outcome;
use crate::claim::owner::{FailureReason, JobOutcome};
use cassiarock_id::{Job, Process, Task};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Default)]
pub struct Oracle {
    begun: BTreeMap<(Job, Task), Process>,
    pub refused: BTreeSet<Job>,
    /// Tasks reported as not run, of jobs that were cancelled after other tasks had run.
    reported_unrun: BTreeSet<(Job, Task)>,
    pub refusals: usize,
    answered: BTreeSet<u32>,
    pub complete: usize,
    /// The number of complete answers by owners that had gathered.
    pub gathered: usize,
    pub mismatches: usize,
    pub failed: BTreeMap<String, usize>,
    /// The first violation of a guarantee.
    pub violation: Option<String>,
}

impl Oracle {
    pub fn begin(&mut self, job: Job, task: Task, agent: &Process) {
        if let Some(first) = self.begun.insert((job, task), agent.clone()) {
            self.violate(format!("{job}/{task} began at {first} and at {agent}"));
        }
        if self.reported_unrun.contains(&(job, task)) {
            self.violate(format!(
                "{job}/{task} was reported as not run and began at {agent}"
            ));
        }
        if self.refused.contains(&job) {
            self.violate(format!("{job} was refused and began at {agent}"));
        }
    }

    /// Records that a begun task did not reach the worker after all.
    pub fn revert(&mut self, job: Job, task: Task) {
        self.begun.remove(&(job, task));
    }

    /// The only correct outcome of a task.
    pub fn outcome(job: Job, task: Task, digest: u64) -> Outcome {
        Outcome::Done(format!("{job}/{task}/{digest}").into_bytes())
    }

    pub fn answer(&mut self, submission: u32, job: Job, digest: u64, outcome: &JobOutcome) {
        if !self.answered.insert(submission) {
            self.violate(format!("submission {submission} got two answers"));
        }
        match outcome {
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
        let expected = (0..TASKS_PER_JOB).map(|task| Self::outcome(job, Task(task), digest));
        if !expected.eq(outcomes.iter().cloned()) {
            self.violate(format!("{job} got the answer {outcomes:?}"));
        }
        if (0..TASKS_PER_JOB).any(|task| !self.begun.contains_key(&(job, Task(task)))) {
            self.violate(format!("{job} is complete and was not run"));
        }
    }

    fn cancelled(&mut self, job: Job, outcomes: &[Option<Outcome>]) {
        let unrun = (0..TASKS_PER_JOB).map(Task).zip(outcomes);
        let unrun = unrun.filter(|(_, outcome)| outcome.is_none());
        for key in unrun.map(|(task, _)| (job, task)).collect::<Vec<_>>() {
            if self.begun.contains_key(&key) {
                self.violate(format!(
                    "{job}/{} had begun and was reported as not run",
                    key.1
                ));
            }
            self.reported_unrun.insert(key);
        }
    }

    fn refused(&mut self, job: Job) {
        self.refused.insert(job);
        if self.begun.keys().any(|(other, _)| *other == job) {
            self.violate(format!("{job} had begun and was refused"));
        }
    }

    fn violate(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }
}
