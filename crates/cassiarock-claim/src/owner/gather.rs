//! The gather, in which every agent that may have run tasks is fenced and reports, and the
//! closing of a job of which nothing ran.

use super::event::{Action, FailureReason, JobOutcome};
use super::state_machine::{Owner, Phase};
use super::task::TaskStatus;
use crate::Ballot;
use crate::guard;
use crate::message::{Fence, FenceReport, Purpose, Reject, TaskState};
use crate::view::{JobScope, ViewHistory};
use cassiarock_id::{Process, Task, Wall};
use std::collections::{BTreeMap, BTreeSet};

/// The state of a gather in progress.
#[derive(Debug)]
pub(super) struct Gather {
    scope: JobScope,
    /// The agents that have not reported yet.
    missing: BTreeSet<Process>,
    /// The tasks that the others reported, each with the agent that did.
    found: BTreeMap<Task, (Process, TaskState)>,
}

impl Owner {
    /// Fences all agents that may have run tasks of the job, under `round` or a higher one.
    /// An exempt keeper is left out.
    pub(super) fn gather(&mut self, round: u32, views: &ViewHistory, now: Wall) -> Vec<Action> {
        let Some(mut scope) = views.scope(self.job, now) else {
            return self.fail(FailureReason::Forgotten);
        };
        // Agents that are fenced under this view reject gathers under the earlier, larger
        // ones, so that only an exemption in this view itself matters.
        if views
            .view()
            .is_none_or(|view| view.exempt_keeper(self.job).is_none())
        {
            scope.excluded_keeper = None;
        }
        let missing = views.gather_targets(self.job, &scope);
        let has_ended = |agent: &Process| views.has_ended(agent);
        if missing.is_empty() || missing.iter().any(has_ended) {
            return self.fail(FailureReason::Unprovable);
        }
        // No round is gathered twice: reports to the first gather would count in the second.
        let unused = self.ballot.round.max(Ballot::FRESH).saturating_add(1);
        self.ballot.round = round.max(unused);
        self.phase = Phase::Gathering(Gather {
            scope,
            missing,
            found: BTreeMap::new(),
        });
        self.pending_fences()
    }

    /// Gathers again under a higher round, because where the tasks run is uncertain.
    pub(super) fn gather_again(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        self.gather(Ballot::FRESH, views, now)
    }

    pub(super) fn handle_report(
        &mut self,
        agent: &Process,
        report: FenceReport,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        if report.job != self.job || matches!(self.phase, Phase::Attached(_) | Phase::Idle) {
            return Vec::new();
        }
        // A closed job stays closed, whichever attempt learns of it. If tasks of it ended at
        // the witness, it was cancelled after they had run; otherwise it was refused.
        let sealed = report.closed && !report.tasks.is_empty();
        if report.closed && !sealed {
            return self.finish(JobOutcome::Refused);
        }
        if report.ballot > self.ballot {
            return self.attach(report.ballot);
        }
        if report.ballot < self.ballot {
            return Vec::new();
        }
        if sealed {
            self.sealed = true;
            self.stop_reason.get_or_insert(FailureReason::Cancelled);
        }
        match &self.phase {
            Phase::Sealing { .. } if self.is_sealing_at(agent) => self.progress(views, now),
            Phase::Gathering(_) => self.add_to_gather(agent, report, views, now),
            Phase::Owning => self.handle_report_while_owning(agent, report, views, now),
            Phase::Closing { witness } if witness.as_ref() == Some(agent) => {
                self.gather_again(views, now)
            }
            _ => Vec::new(),
        }
    }

    pub(super) fn handle_fence_rejected(
        &mut self,
        agent: &Process,
        reject: &Reject,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        if self.is_sealing_at(agent) {
            return self.handle_seal_rejected(agent, reject, views, now);
        }
        let witness = match &self.phase {
            Phase::Gathering(gather) if gather.is_missing(agent) => false,
            Phase::Closing { witness } if witness.as_ref() == Some(agent) => true,
            _ => return Vec::new(),
        };
        match reject {
            Reject::Forgotten => self.fail(FailureReason::Forgotten),
            Reject::Mismatch => self.mismatch(),
            Reject::Leaving if witness => {
                self.unusable_agents.insert(agent.clone());
                self.close(views, now)
            }
            _ => Vec::new(),
        }
    }

    /// The fences of the gather that have not been answered yet.
    pub(super) fn pending_fences(&self) -> Vec<Action> {
        let Phase::Gathering(gather) = &self.phase else {
            return Vec::new();
        };
        let fence = |agent: &Process| self.fence_action(agent, gather.scope.view, false);
        gather.missing.iter().map(fence).collect()
    }

    pub(super) fn fence_action(&self, agent: &Process, view: u64, close: bool) -> Action {
        let fence = Fence {
            job: self.job,
            digest: self.digest,
            ballot: self.ballot.clone(),
            view,
            close,
        };
        Action::Fence {
            agent: agent.clone(),
            fence,
        }
    }

    /// Closes the job at a witness. The keeper's record alone would be lost with the keeper:
    /// a later gather may leave out the keeper, but not the witness.
    pub(super) fn close(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        if guard::has_witness(false) {
            return self.finish(JobOutcome::Refused);
        }
        let Some(scope) = &self.scope else {
            return Vec::new();
        };
        let Some(current) = views.scope(self.job, now) else {
            return self.fail(FailureReason::Forgotten);
        };
        let is_usable = |agent: &&Process| {
            self.may_place_at(agent, views) && !self.unreachable.contains(*agent)
        };
        let witness = views
            .gather_targets(self.job, scope)
            .iter()
            .find(is_usable)
            .cloned();
        // After a gather, agents that joined since can be witnesses as well.
        let gathered = self.ballot.round > Ballot::FRESH && scope.view == current.view;
        if witness.is_none() && !gathered {
            return self.gather_again(views, now);
        }
        let fence = witness
            .as_ref()
            .map(|agent| self.fence_action(agent, current.view, true));
        self.phase = Phase::Closing { witness };
        fence.into_iter().collect()
    }

    /// Refuses the job. If the attempt has not gathered, the claim is closed at the keeper
    /// first.
    pub(super) fn refuse(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        if self.ballot.round == Ballot::FRESH {
            return self.request_claim(Purpose::Refuse, views, now);
        }
        self.close(views, now)
    }

    fn add_to_gather(
        &mut self,
        agent: &Process,
        report: FenceReport,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        let Phase::Gathering(gather) = &mut self.phase else {
            return Vec::new();
        };
        gather.missing.remove(agent);
        for (task, state) in report.tasks {
            gather.record(task, agent, state);
        }
        if !guard::is_gather_complete(gather.missing.len()) {
            return Vec::new();
        }
        let found = std::mem::take(&mut gather.found);
        self.scope = Some(gather.scope.clone());
        self.tasks.release();
        for (task, (agent, state)) in found {
            self.record_ran(&agent, &state);
            self.tasks.set(task, status_from(agent, state));
        }
        self.start_owning(views, now)
    }
}

impl Gather {
    /// Records a reported task. The outcome of a task that a leaving agent handed over is
    /// reported by two others; an outcome takes precedence over a running state.
    fn record(&mut self, task: Task, agent: &Process, state: TaskState) {
        let has_outcome = matches!(self.found.get(&task), Some((_, TaskState::Ended(_))));
        if !has_outcome {
            self.found.insert(task, (agent.clone(), state));
        }
    }

    pub(super) const fn view(&self) -> u64 {
        self.scope.view
    }

    pub(super) fn is_missing(&self, agent: &Process) -> bool {
        self.missing.contains(agent)
    }
}

pub(super) fn status_from(agent: Process, state: TaskState) -> TaskStatus {
    match state {
        TaskState::Running => TaskStatus::Running { agent },
        TaskState::Ended(outcome) => TaskStatus::Ended(outcome),
    }
}
