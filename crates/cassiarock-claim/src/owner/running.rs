//! The owner while tasks are placed, run and end, and agents come and go.

use super::event::{Action, FailureReason, JobOutcome};
use super::gather::stand;
use super::machine::{Owner, Phase};
use super::task::Stand;
use crate::Ballot;
use crate::message::{Cancel, FenceReport, Outcome, Reject};
use crate::view::ViewHistory;
use cassiarock_id::{Process, Task, Wall};
use std::collections::BTreeSet;

/// What becomes of a task whose agent ended without handing over.
const RESTARTED: &str = "the agent ended with its ledger";

/// What becomes of a task whose agent has forgotten the job.
const FORGOTTEN: &str = "the agent no longer remembers the job";

impl Owner {
    /// The attempt owns the job from now on.
    pub(super) fn own(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        self.phase = Phase::Owning;
        self.progress(views, now)
    }

    /// What is to be done next, after any change while owning.
    pub(super) fn progress(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        if self.tasks.all_ended() {
            return self.complete();
        }
        if self.tasks.any_lost() {
            self.stop.get_or_insert(FailureReason::Lost);
        }
        let Some(reason) = self.stop else {
            return self.offer(views, now);
        };
        if self.tasks.pending().next().is_some() {
            return self.withdraw();
        }
        if self.tasks.any_ended() {
            return self.seal(reason, views);
        }
        self.refuse(views, now)
    }

    pub(super) fn rejected(
        &mut self,
        ballot: &Ballot,
        task: Task,
        placement: u32,
        reject: Reject,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        let (agent, asked) = match self.tasks.get(task) {
            Some(Stand::Placed { agent, start }) => (agent, (&start.ballot, start.placement)),
            // Placed by an earlier attempt, reported, and proved since not to have begun.
            Some(Stand::Running { agent }) => (agent, (&self.ballot, 0)),
            _ => return Vec::new(),
        };
        if asked != (ballot, placement) || !matches!(self.phase, Phase::Owning) {
            return Vec::new();
        }
        match reject {
            Reject::Fenced(higher) if higher > self.ballot => return self.attach(higher),
            Reject::Fenced(_) => return Vec::new(),
            Reject::Closed if self.tasks.any_ended() => return self.regather(views, now),
            Reject::Closed => return self.finish(JobOutcome::Refused),
            Reject::Mismatch => {
                self.tasks.set(task, Stand::Free);
                return self.mismatch();
            }
            // The agent may have run the task and forgotten it since: this start may be a
            // repeat whose first answer was lost.
            Reject::Forgotten => {
                let lost = Outcome::Lost(FORGOTTEN.to_owned());
                self.tasks.set(task, Stand::Ended(lost));
                return self.progress(views, now);
            }
            Reject::Keeper | Reject::View(_) | Reject::Leaving => {
                self.barred.insert(agent.clone());
            }
            Reject::Expired | Reject::Full | Reject::Cancelled => {}
        }
        self.tasks.set(task, Stand::Free);
        self.progress(views, now)
    }

    pub(super) fn ended(
        &mut self,
        ballot: &Ballot,
        task: Task,
        outcome: Outcome,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        // A late end may belong to an earlier submission of this id, with other tasks.
        if !ballot.same_owner(&self.ballot) {
            return Vec::new();
        }
        if let Some(Stand::Placed { agent, .. } | Stand::Running { agent }) = self.tasks.get(task) {
            self.ran.insert(agent.clone());
        }
        self.tasks.set(task, Stand::Ended(outcome));
        if self.tasks.all_ended() {
            return self.complete();
        }
        if matches!(self.phase, Phase::Owning) {
            return self.progress(views, now);
        }
        Vec::new()
    }

    /// A report while owning: the answer to a repeated fence. What it does not list may
    /// still be on its way to that agent.
    pub(super) fn learned(
        &mut self,
        agent: &Process,
        report: FenceReport,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        // Of an earlier attempt's tasks nothing can begin any more: what is not reported
        // turned out not to have begun.
        let listed = |task: Task| report.tasks.iter().any(|(other, _)| *other == task);
        let unbegun = self.tasks.iter().filter(|(task, stand)| {
            matches!(stand, Stand::Running { agent: at } if at == agent) && !listed(*task)
        });
        let unbegun: Vec<_> = unbegun.map(|(task, _)| task).collect();
        for task in unbegun {
            self.tasks.set(task, Stand::Free);
        }
        for (task, state) in report.tasks {
            self.note_ran(agent, &state);
            if !matches!(self.tasks.get(task), Some(Stand::Placed { .. })) {
                self.tasks.set(task, stand(agent.clone(), state));
            }
        }
        self.progress(views, now)
    }

    pub(super) fn lost(&mut self, agent: Process, views: &ViewHistory, now: Wall) -> Vec<Action> {
        let keeper = match &self.phase {
            Phase::Asking { scope, .. } => scope.keeper.as_ref() == Some(&agent),
            _ => false,
        };
        let witness = match &self.phase {
            Phase::Closing { witness } => witness.as_ref() == Some(&agent),
            _ => false,
        };
        let sealing = self.is_sealing_at(&agent);
        self.lost.insert(agent);
        if sealing {
            return self.progress(views, now);
        }
        if keeper {
            return self.unkept(views, now);
        }
        if witness {
            return self.close(views, now);
        }
        Vec::new()
    }

    /// Asks again what that agent has left open. Its ledger answers repeats.
    pub(super) fn back(&mut self, agent: &Process, views: &ViewHistory) -> Vec<Action> {
        self.lost.remove(agent);
        match &self.phase {
            Phase::Gathering(gather) if gather.misses(agent) => {
                vec![self.fence(agent, gather.view(), false)]
            }
            Phase::Owning => self.reask(agent, views),
            _ => Vec::new(),
        }
    }

    /// Repeats what has not been answered.
    pub(super) fn repeat(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        match &self.phase {
            Phase::Asking { purpose, .. } | Phase::Blind(purpose) => self.ask(*purpose, views, now),
            Phase::Gathering(_) => self.fences(),
            Phase::Closing { .. } => self.close(views, now),
            Phase::Sealing { .. } => self.progress(views, now),
            Phase::Owning if self.stop.is_some() => self.cancels(),
            Phase::Owning => self.refences(views),
            _ => Vec::new(),
        }
    }

    /// Asks anew after tasks that an earlier attempt had placed. Word that one of them
    /// turned out not to have begun may have come before the gather was whole.
    fn refences(&self, views: &ViewHistory) -> Vec<Action> {
        let view = views.version().unwrap_or_default();
        let running = self.tasks.iter().filter_map(|(_, stand)| match stand {
            Stand::Running { agent } => Some(agent),
            _ => None,
        });
        let agents: BTreeSet<_> = running.collect();
        let fence = |agent| self.fence(agent, view, false);
        agents.into_iter().map(fence).collect()
    }

    pub(super) fn viewed(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        match &self.phase {
            Phase::Asking { purpose, .. } | Phase::Blind(purpose) => self.ask(*purpose, views, now),
            // Agents of the new view reject fences of an older one.
            Phase::Gathering(gather) if views.version() > Some(gather.view()) => {
                self.regather(views, now)
            }
            Phase::Closing { .. } => self.close(views, now),
            Phase::Sealing { .. } => self.progress(views, now),
            Phase::Owning => self.bury(views, now),
            _ => Vec::new(),
        }
    }

    /// Settles the tasks of agents that have ended: what a leaving one handed over is
    /// gathered from its successors, the ends of the others are lost.
    fn bury(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        let pending = self.tasks.pending();
        let ended = pending.filter(|(_, agent)| views.has_ended(agent));
        let ended: Vec<_> = ended
            .map(|(task, agent)| (task, views.has_retired(agent)))
            .collect();
        if ended.is_empty() {
            return self.offer(views, now);
        }
        if ended.iter().any(|(_, retired)| *retired) {
            return self.regather(views, now);
        }
        for (task, _) in ended {
            let lost = Outcome::Lost(RESTARTED.to_owned());
            self.tasks.set(task, Stand::Ended(lost));
        }
        self.progress(views, now)
    }

    /// Offers the free tasks for placement. Where every agent that may run them has gone,
    /// as in a rolling replacement, a gather lets those that came since run them.
    fn offer(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        if self.startable_tasks().next().is_none() {
            return Vec::new();
        }
        let mut members = views
            .view()
            .into_iter()
            .flat_map(|view| view.members.iter());
        let usable = members.any(|agent| self.may_place_at(agent, views));
        let view = self.scope.as_ref().map(|scope| scope.view);
        let granted = self.ballot.round == Ballot::FRESH;
        if !usable && (granted || views.version() > view) {
            return self.regather(views, now);
        }
        vec![Action::Place]
    }

    /// Cancels what is pending, once per attempt. Each cancel is answered, and an answer
    /// that cancelled all the rest again made the frames grow with the square of a job's
    /// tasks. A cancel that gets lost is repeated by the timer.
    fn withdraw(&mut self) -> Vec<Action> {
        if self.withdrawn.as_ref() == Some(&self.ballot) {
            return Vec::new();
        }
        self.withdrawn = Some(self.ballot.clone());
        self.cancels()
    }

    fn cancels(&self) -> Vec<Action> {
        let cancel = |(task, agent): (Task, &Process)| Action::Cancel {
            agent: agent.clone(),
            cancel: self.cancel_of(task),
        };
        self.tasks.pending().map(cancel).collect()
    }

    fn cancel_of(&self, task: Task) -> Cancel {
        let placement = match self.tasks.get(task) {
            Some(Stand::Placed { start, .. }) => start.placement,
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

    fn reask(&self, agent: &Process, views: &ViewHistory) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut attached = false;
        for (task, stand) in self.tasks.iter() {
            match stand {
                Stand::Placed { agent: at, start } if at == agent && self.stop.is_none() => {
                    actions.push(Action::Start {
                        agent: at.clone(),
                        start: start.clone(),
                    });
                }
                Stand::Placed { agent: at, .. } if at == agent => {
                    actions.push(Action::Cancel {
                        agent: at.clone(),
                        cancel: self.cancel_of(task),
                    });
                }
                Stand::Running { agent: at } if at == agent => attached = true,
                _ => {}
            }
        }
        if attached {
            let view = views.version().unwrap_or_default();
            actions.push(self.fence(agent, view, false));
        }
        actions
    }
}
