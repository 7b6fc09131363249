//! Fences and cancellations: the decisions that withdraw starts.

use super::lifecycle::Ledger;
use super::record::{JobRecord, Stage, TaskRecord};
use crate::Ballot;
use crate::guard;
use crate::message::{Cancel, Fence, FenceReport, Outcome, Reject};
use cassiarock_id::{Job, Task, Wall};

/// What the agent does with a cancellation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CancelDecision {
    /// That placement has not begun and never will: remove it from the queue and answer
    /// `Reject::Cancelled`.
    Never,
    /// The task has begun: stop the worker if possible; the outcome follows as usual.
    Running,
    /// The task had already ended with this outcome.
    Ended(Outcome),
    /// The cancellation has no effect, for this reason.
    Rejected(Reject),
}

/// The effect of a fence that the ledger accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcceptedFence {
    /// The answer to the entry.
    pub report: FenceReport,
    /// Tasks that waited under lower attempts: remove them from the queue.
    pub withdrawn: Vec<Task>,
}

impl Ledger {
    /// Withdraws a placement, even one whose start message has not arrived yet.
    pub fn cancel(&mut self, cancel: &Cancel) -> CancelDecision {
        let known = self.jobs.get(&cancel.job);
        if known.is_some_and(|record| record.digest != cancel.digest) {
            return CancelDecision::Rejected(Reject::Mismatch);
        }
        if let Some(record) = known
            && !guard::passes_fence(&cancel.ballot, &record.fence)
        {
            return CancelDecision::Rejected(Reject::Fenced(record.fence.clone()));
        }
        if let Some(record) = self.task_mut(cancel.job, cancel.task) {
            match &record.stage {
                Stage::Running => return CancelDecision::Running,
                Stage::Ended(outcome) => return CancelDecision::Ended(outcome.clone()),
                Stage::Waiting | Stage::Void if record.is_after(cancel) => {
                    return CancelDecision::Never;
                }
                Stage::Waiting | Stage::Void => {}
            }
        }
        if !self.jobs.contains_key(&cancel.job) && self.is_forgotten(cancel.job) {
            return CancelDecision::Rejected(Reject::Forgotten);
        }
        self.insert_void(cancel);
        CancelDecision::Never
    }

    /// Fences a job: rejects every lower attempt from now on, withdraws the tasks that wait
    /// under lower attempts, attaches the fence's attempt to the running ones, and reports.
    ///
    /// # Errors
    /// `Mismatch` if the job's id is in use for other tasks, `View` if the fence was planned
    /// by an older membership than this agent's or than an earlier fence's, `Forgotten` if
    /// the job may have been evicted, `Leaving` if this ledger was handed over.
    pub fn fence(&mut self, fence: &Fence, now: Wall) -> Result<AcceptedFence, Reject> {
        self.latest_time = self.latest_time.max(now);
        if guard::is_handed_over(self.handed_over) {
            return Err(Reject::Leaving);
        }
        let known = self.jobs.get(&fence.job);
        if known.is_some_and(|record| record.digest != fence.digest) {
            return Err(Reject::Mismatch);
        }
        // An older membership may lack agents that ran tasks of the job: a gather by it
        // would seem complete and start those tasks again.
        let seen = known.map_or(self.view, |record| record.view.max(self.view));
        if !guard::is_current_view(fence.view, seen) {
            return Err(Reject::View(seen));
        }
        let evicted = known.is_none() && self.is_forgotten(fence.job);
        if evicted || self.inherited_floor.covers(fence.job) {
            return Err(Reject::Forgotten);
        }
        let is_new = known.is_none();
        let record = self.get_or_insert(fence.job, fence.digest, &fence.ballot, fence.view);
        if fence.close {
            let is_own = is_new || record.fence == fence.ballot;
            record.closed |= is_own && !record.is_active();
        }
        let withdrawn = raise_fence(record, &fence.ballot, fence.view);
        self.update_bytes(fence.job);
        Ok(self.accepted(fence.job, withdrawn))
    }

    fn insert_void(&mut self, cancel: &Cancel) {
        let view = self.view;
        let record = self.get_or_insert(cancel.job, cancel.digest, &cancel.ballot, view);
        let task = TaskRecord {
            stage: Stage::Void,
            ballot: cancel.ballot.clone(),
            placement: cancel.placement,
            attached: Vec::new(),
        };
        record.tasks.insert(cancel.task, task);
        self.update_bytes(cancel.job);
    }

    fn accepted(&self, job: Job, withdrawn: Vec<Task>) -> AcceptedFence {
        let record = &self.jobs[&job];
        let report = FenceReport {
            job,
            ballot: record.fence.clone(),
            view: self.view,
            closed: record.closed,
            tasks: record.task_states(),
        };
        AcceptedFence { report, withdrawn }
    }
}

/// Raises a job's fence to `ballot`, unless it is higher already, attaches `ballot` to the
/// running tasks, and returns the tasks withdrawn from lower attempts.
pub(super) fn raise_fence(record: &mut JobRecord, ballot: &Ballot, view: u64) -> Vec<Task> {
    if *ballot < record.fence {
        return Vec::new();
    }
    record.fence = ballot.clone();
    record.view = record.view.max(view);
    let mut withdrawn = Vec::new();
    for (task, task_record) in record.tasks.iter_mut() {
        match task_record.stage {
            Stage::Waiting if task_record.ballot < *ballot => {
                task_record.stage = Stage::Void;
                withdrawn.push(task);
            }
            Stage::Waiting | Stage::Running => task_record.attach(ballot),
            Stage::Ended(_) | Stage::Void => {}
        }
    }
    withdrawn
}
