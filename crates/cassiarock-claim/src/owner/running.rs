//! The owner while its tasks are placed and run, and while agents become unreachable or
//! reachable again.

use super::event::{Action, FailureReason, JobOutcome};
use super::gather::status_from;
use super::state_machine::{Owner, Phase};
use super::task::TaskStatus;
use crate::Ballot;
use crate::message::{Cancel, FenceReport, Outcome, Reject};
use crate::view::ViewHistory;
use cassiarock_id::{Process, Task, Wall};
use std::collections::BTreeSet;

/// The reason in the outcome of a task whose agent ended without handing over.
const LEDGER_LOST: &str = "the agent ended with its ledger";

/// The reason in the outcome of a task whose agent may have evicted the job.
const FORGOTTEN: &str = "the agent no longer remembers the job";

impl Owner {
    /// Enters the owning phase, in which tasks may be placed.
    pub(super) fn start_owning(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        self.phase = Phase::Owning;
        self.progress(views, now)
    }

    /// Decides the next actions after any change while owning.
    pub(super) fn progress(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        if self.tasks.all_ended() {
            return self.complete();
        }
        if self.tasks.any_lost() {
            self.stop_reason.get_or_insert(FailureReason::Lost);
        }
        let Some(reason) = self.stop_reason else {
            return self.offer_free_tasks(views, now);
        };
        if self.tasks.pending().next().is_some() {
            return self.cancel_pending_once();
        }
        if self.tasks.any_ended() {
            return self.seal(reason, views);
        }
        self.refuse(views, now)
    }

    pub(super) fn handle_rejected(
        &mut self,
        ballot: &Ballot,
        task: Task,
        placement: u32,
        reject: Reject,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        let (agent, expected) = match self.tasks.get(task) {
            Some(TaskStatus::Placed { agent, start }) => (agent, (&start.ballot, start.placement)),
            // Placed by an earlier attempt, reported as running, and since proved not to have
            // begun.
            Some(TaskStatus::Running { agent }) => (agent, (&self.ballot, 0)),
            _ => return Vec::new(),
        };
        if expected != (ballot, placement) || !matches!(self.phase, Phase::Owning) {
            return Vec::new();
        }
        match reject {
            Reject::Fenced(higher) if higher > self.ballot => return self.attach(higher),
            Reject::Fenced(_) => return Vec::new(),
            Reject::Closed if self.tasks.any_ended() => return self.gather_again(views, now),
            Reject::Closed => return self.finish(JobOutcome::Refused),
            Reject::Mismatch => {
                self.tasks.set(task, TaskStatus::Free);
                return self.mismatch();
            }
            // The agent may have run the task and evicted the job since: this start may be a
            // repeat of one whose outcome was lost on the way.
            Reject::Forgotten => {
                let lost = Outcome::Lost(FORGOTTEN.to_owned());
                self.tasks.set(task, TaskStatus::Ended(lost));
                return self.progress(views, now);
            }
            Reject::Keeper | Reject::View(_) | Reject::Leaving => {
                self.unusable_agents.insert(agent.clone());
            }
            Reject::Expired | Reject::Full | Reject::Cancelled => {}
        }
        self.tasks.set(task, TaskStatus::Free);
        self.progress(views, now)
    }

    pub(super) fn handle_ended(
        &mut self,
        ballot: &Ballot,
        task: Task,
        outcome: Outcome,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        // A late outcome may belong to an earlier submission of this id, with other tasks.
        if !ballot.same_owner(&self.ballot) {
            return Vec::new();
        }
        if let Some(TaskStatus::Placed { agent, .. } | TaskStatus::Running { agent }) =
            self.tasks.get(task)
        {
            self.ran_at.insert(agent.clone());
        }
        self.tasks.set(task, TaskStatus::Ended(outcome));
        if self.tasks.all_ended() {
            return self.complete();
        }
        if matches!(self.phase, Phase::Owning) {
            return self.progress(views, now);
        }
        Vec::new()
    }

    /// Handles a report while owning, the answer to a repeated fence. A task of this attempt
    /// that it does not list may still be on its way to that agent.
    pub(super) fn handle_report_while_owning(
        &mut self,
        agent: &Process,
        report: FenceReport,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        // Tasks of earlier attempts can no longer begin: one that the report does not list
        // has not begun.
        let listed = |task: Task| report.tasks.iter().any(|(other, _)| *other == task);
        let unbegun = self.tasks.iter().filter(|(task, status)| {
            matches!(status, TaskStatus::Running { agent: at } if at == agent) && !listed(*task)
        });
        let unbegun: Vec<_> = unbegun.map(|(task, _)| task).collect();
        for task in unbegun {
            self.tasks.set(task, TaskStatus::Free);
        }
        for (task, state) in report.tasks {
            self.record_ran(agent, &state);
            if !matches!(self.tasks.get(task), Some(TaskStatus::Placed { .. })) {
                self.tasks.set(task, status_from(agent.clone(), state));
            }
        }
        self.progress(views, now)
    }

    pub(super) fn handle_agent_unreachable(
        &mut self,
        agent: Process,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        let is_keeper = match &self.phase {
            Phase::AwaitingKeeper { scope, .. } => scope.keeper.as_ref() == Some(&agent),
            _ => false,
        };
        let is_witness = match &self.phase {
            Phase::Closing { witness } => witness.as_ref() == Some(&agent),
            _ => false,
        };
        let is_sealing = self.is_sealing_at(&agent);
        self.unreachable.insert(agent);
        if is_sealing {
            return self.progress(views, now);
        }
        if is_keeper {
            return self.gather_without_keeper(views, now);
        }
        if is_witness {
            return self.close(views, now);
        }
        Vec::new()
    }

    /// Repeats the messages that the agent has not answered. Its ledger handles repeats.
    pub(super) fn handle_agent_reachable(
        &mut self,
        agent: &Process,
        views: &ViewHistory,
    ) -> Vec<Action> {
        self.unreachable.remove(agent);
        match &self.phase {
            Phase::Gathering(gather) if gather.is_missing(agent) => {
                vec![self.fence_action(agent, gather.view(), false)]
            }
            Phase::Owning => self.resend_to(agent, views),
            _ => Vec::new(),
        }
    }

    /// Repeats the messages that have not been answered.
    pub(super) fn handle_retry(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        match &self.phase {
            Phase::AwaitingKeeper { purpose, .. } | Phase::NoView(purpose) => {
                self.request_claim(*purpose, views, now)
            }
            Phase::Gathering(_) => self.pending_fences(),
            Phase::Closing { .. } => self.close(views, now),
            Phase::Sealing { .. } => self.progress(views, now),
            Phase::Owning if self.stop_reason.is_some() => self.pending_cancels(),
            Phase::Owning => self.fences_of_running_tasks(views),
            _ => Vec::new(),
        }
    }

    /// Fences again the agents that run tasks of earlier attempts. The message that such a
    /// task has not begun after all may have arrived before the gather was complete.
    fn fences_of_running_tasks(&self, views: &ViewHistory) -> Vec<Action> {
        let view = views.version().unwrap_or_default();
        let running = self.tasks.iter().filter_map(|(_, status)| match status {
            TaskStatus::Running { agent } => Some(agent),
            _ => None,
        });
        let agents: BTreeSet<_> = running.collect();
        let fence = |agent| self.fence_action(agent, view, false);
        agents.into_iter().map(fence).collect()
    }

    pub(super) fn handle_view_changed(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        match &self.phase {
            Phase::AwaitingKeeper { purpose, .. } | Phase::NoView(purpose) => {
                self.request_claim(*purpose, views, now)
            }
            // Agents that hold the new view reject fences of an older one.
            Phase::Gathering(gather) if views.version() > Some(gather.view()) => {
                self.gather_again(views, now)
            }
            Phase::Closing { .. } => self.close(views, now),
            Phase::Sealing { .. } => self.progress(views, now),
            Phase::Owning => self.settle_ended_agents(views, now),
            _ => Vec::new(),
        }
    }

    /// Handles the pending tasks of agents that have ended. What a leaving agent handed over
    /// is gathered from its successors; the outcomes at the other agents are lost.
    fn settle_ended_agents(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        let pending = self.tasks.pending();
        let ended = pending.filter(|(_, agent)| views.has_ended(agent));
        let ended: Vec<_> = ended
            .map(|(task, agent)| (task, views.has_retired(agent)))
            .collect();
        if ended.is_empty() {
            return self.offer_free_tasks(views, now);
        }
        if ended.iter().any(|(_, retired)| *retired) {
            return self.gather_again(views, now);
        }
        for (task, _) in ended {
            let lost = Outcome::Lost(LEDGER_LOST.to_owned());
            self.tasks.set(task, TaskStatus::Ended(lost));
        }
        self.progress(views, now)
    }

    /// Offers the free tasks for placement. If every agent that may run them has ended, as
    /// in a rolling replacement, a gather lets agents that joined since run them.
    fn offer_free_tasks(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        if self.startable_tasks().next().is_none() {
            return Vec::new();
        }
        let mut members = views
            .view()
            .into_iter()
            .flat_map(|view| view.members.iter());
        let has_usable_agent = members.any(|agent| self.may_place_at(agent, views));
        let view = self.scope.as_ref().map(|scope| scope.view);
        let granted = self.ballot.round == Ballot::FRESH;
        if !has_usable_agent && (granted || views.version() > view) {
            return self.gather_again(views, now);
        }
        vec![Action::Place]
    }

    /// Cancels the pending tasks, once per attempt. Each cancellation is answered; if every
    /// answer cancelled the remaining tasks again, the number of frames would grow with the
    /// square of a job's tasks. [`Event::Retry`] repeats cancellations that get lost.
    fn cancel_pending_once(&mut self) -> Vec<Action> {
        if self.cancelled_under.as_ref() == Some(&self.ballot) {
            return Vec::new();
        }
        self.cancelled_under = Some(self.ballot.clone());
        self.pending_cancels()
    }

    fn pending_cancels(&self) -> Vec<Action> {
        let cancel = |(task, agent): (Task, &Process)| Action::Cancel {
            agent: agent.clone(),
            cancel: self.cancel_message(task),
        };
        self.tasks.pending().map(cancel).collect()
    }

    fn cancel_message(&self, task: Task) -> Cancel {
        let placement = match self.tasks.get(task) {
            Some(TaskStatus::Placed { start, .. }) => start.placement,
            _ => 0,
        };
        Cancel {
            job: self.job,
            digest: self.digest,
            ballot: self.ballot.clone(),
            task,
            placement,
        }
    }

    fn resend_to(&self, agent: &Process, views: &ViewHistory) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut attached = false;
        for (task, status) in self.tasks.iter() {
            match status {
                TaskStatus::Placed { agent: at, start }
                    if at == agent && self.stop_reason.is_none() =>
                {
                    actions.push(Action::Start {
                        agent: at.clone(),
                        start: start.clone(),
                    });
                }
                TaskStatus::Placed { agent: at, .. } if at == agent => {
                    actions.push(Action::Cancel {
                        agent: at.clone(),
                        cancel: self.cancel_message(task),
                    });
                }
                TaskStatus::Running { agent: at } if at == agent => attached = true,
                _ => {}
            }
        }
        if attached {
            let view = views.version().unwrap_or_default();
            actions.push(self.fence_action(agent, view, false));
        }
        actions
    }
}
