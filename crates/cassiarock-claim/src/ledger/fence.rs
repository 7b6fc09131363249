//! The decisions that take starts back: fences and cancellations.

use super::book::Ledger;
use super::record::{Record, Slot, Stage};
use crate::Ballot;
use crate::guard;
use crate::message::{Cancel, Fence, FenceReport, Outcome, Reject};
use cassiarock_id::{Job, Task, Wall};

/// What the agent does with a cancellation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CancelDecision {
    /// That placement has not begun and never will: take it from the queue and answer
    /// `Reject::Cancelled`.
    Never,
    /// It has begun: stop the worker if possible; the outcome follows as usual.
    Running,
    /// It had ended.
    Ended(Outcome),
    /// A higher attempt owns the job, and this one may no longer cancel.
    Rejected(Reject),
}

/// What the agent does with an accepted fence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcceptedFence {
    /// The answer to the entry.
    pub report: FenceReport,
    /// Tasks that waited under lower attempts: take them from the queue.
    pub withdrawn: Vec<Task>,
}

impl Ledger {
    /// Withdraws a placement, also one whose start message has not arrived yet.
    pub fn cancel(&mut self, cancel: &Cancel) -> CancelDecision {
        let known = self.jobs.get(&cancel.job);
        if known.is_some_and(|record| record.digest != cancel.digest) {
            return CancelDecision::Rejected(Reject::Mismatch);
        }
        if let Some(record) = known
            && !guard::above_fence(&cancel.ballot, &record.fence)
        {
            return CancelDecision::Rejected(Reject::Fenced(record.fence.clone()));
        }
        if let Some(slot) = self.slot(cancel.job, cancel.task) {
            match &slot.stage {
                Stage::Running => return CancelDecision::Running,
                Stage::Ended(outcome) => return CancelDecision::Ended(outcome.clone()),
                Stage::Waiting | Stage::Void if slot.is_after(cancel) => {
                    return CancelDecision::Never;
                }
                Stage::Waiting | Stage::Void => {}
            }
        }
        if !self.jobs.contains_key(&cancel.job) && self.is_forgotten(cancel.job) {
            return CancelDecision::Rejected(Reject::Forgotten);
        }
        self.void(cancel);
        CancelDecision::Never
    }

    /// Fences a job: rejects every lower attempt from now on, withdraws what waits under
    /// them, attaches the fence's attempt to what runs, and reports.
    ///
    /// # Errors
    /// `Mismatch` if the job's id is in use for other tasks, `View` if the fence was
    /// planned by an older membership than this agent's or than a former fence's,
    /// `Forgotten` if the job may have been evicted, `Leaving` if others have taken this
    /// ledger over.
    pub fn fence(&mut self, fence: &Fence, now: Wall) -> Result<AcceptedFence, Reject> {
        self.latest = self.latest.max(now);
        if guard::handed_over(self.handed) {
            return Err(Reject::Leaving);
        }
        let known = self.jobs.get(&fence.job);
        if known.is_some_and(|record| record.digest != fence.digest) {
            return Err(Reject::Mismatch);
        }
        // An older membership may lack agents that ran tasks of the job: a gather by it
        // would look whole and start those tasks again.
        let seen = known.map_or(self.view, |record| record.view.max(self.view));
        if !guard::current_view(fence.view, seen) {
            return Err(Reject::View(seen));
        }
        let unknown = known.is_none() && self.is_forgotten(fence.job);
        if unknown || self.inherited.covers(fence.job) {
            return Err(Reject::Forgotten);
        }
        let fresh = known.is_none();
        let record = self.open(fence.job, fence.digest, &fence.ballot, fence.view);
        if fence.close {
            let own = fresh || record.fence == fence.ballot;
            record.closed |= own && !record.is_active();
        }
        let withdrawn = advance(record, &fence.ballot, fence.view);
        self.recount(fence.job);
        Ok(self.report(fence.job, withdrawn))
    }

    fn void(&mut self, cancel: &Cancel) {
        let view = self.view;
        let record = self.open(cancel.job, cancel.digest, &cancel.ballot, view);
        let slot = Slot {
            stage: Stage::Void,
            ballot: cancel.ballot.clone(),
            placement: cancel.placement,
            attached: Vec::new(),
        };
        record.tasks.insert(cancel.task, slot);
        self.recount(cancel.job);
    }

    fn report(&self, job: Job, withdrawn: Vec<Task>) -> AcceptedFence {
        let record = &self.jobs[&job];
        let report = FenceReport {
            job,
            ballot: record.fence.clone(),
            view: self.view,
            closed: record.closed,
            tasks: record.states(),
        };
        AcceptedFence { report, withdrawn }
    }
}

/// Raises a record's fence to `ballot` if that is higher, attaches it to what runs, and
/// returns the tasks withdrawn from lower attempts.
pub(super) fn advance(record: &mut Record, ballot: &Ballot, view: u64) -> Vec<Task> {
    if *ballot < record.fence {
        return Vec::new();
    }
    record.fence = ballot.clone();
    record.view = record.view.max(view);
    let mut withdrawn = Vec::new();
    for (task, slot) in record.tasks.iter_mut() {
        match slot.stage {
            Stage::Waiting if slot.ballot < *ballot => {
                slot.stage = Stage::Void;
                withdrawn.push(task);
            }
            Stage::Waiting | Stage::Running => slot.attach(ballot),
            Stage::Ended(_) | Stage::Void => {}
        }
    }
    withdrawn
}
