//! The gather: every agent that may have run tasks is fenced and reports; and the
//! closing of a job of which nothing ran.

use super::event::{Action, FailureReason, JobOutcome};
use super::machine::{Owner, Phase};
use super::task::Stand;
use crate::Ballot;
use crate::guard;
use crate::message::{Fence, FenceReport, Purpose, Reject, TaskState};
use crate::view::{JobScope, ViewHistory};
use cassiarock_id::{Process, Task, Wall};
use std::collections::{BTreeMap, BTreeSet};

/// A gather under way.
#[derive(Debug)]
pub(super) struct Gather {
    scope: JobScope,
    /// The agents that have not reported yet.
    missing: BTreeSet<Process>,
    /// What the others reported.
    found: BTreeMap<Task, (Process, TaskState)>,
}

impl Owner {
    /// Fences all agents under `round`. The keeper may be missing if it is exempt.
    pub(super) fn gather(&mut self, round: u32, views: &ViewHistory, now: Wall) -> Vec<Action> {
        let Some(mut scope) = views.scope(self.job, now) else {
            return self.fail(FailureReason::Forgotten);
        };
        // Agents fenced by this view reject gathers by the larger ones that went before,
        // so that only an exemption by this view itself counts.
        if views
            .view()
            .is_none_or(|view| view.exempt_keeper(self.job).is_none())
        {
            scope.excluded_keeper = None;
        }
        let missing = views.gather_targets(self.job, &scope);
        let gone = |agent: &Process| views.has_ended(agent);
        if missing.is_empty() || missing.iter().any(gone) {
            return self.fail(FailureReason::Unprovable);
        }
        // No round is gathered twice: a report to the first gather would count in the second.
        let unused = self.ballot.round.max(Ballot::FRESH).saturating_add(1);
        self.ballot.round = round.max(unused);
        self.phase = Phase::Gathering(Gather {
            scope,
            missing,
            found: BTreeMap::new(),
        });
        self.fences()
    }

    /// Begins again under a higher round: the tasks' whereabouts are in doubt.
    pub(super) fn regather(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        self.gather(Ballot::FRESH, views, now)
    }

    pub(super) fn reported(
        &mut self,
        agent: &Process,
        report: FenceReport,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        if report.job != self.job || matches!(self.phase, Phase::Attached(_) | Phase::Idle) {
            return Vec::new();
        }
        // A closed job is closed for good, whoever reads of it. If tasks of it ended at
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
            self.stop.get_or_insert(FailureReason::Cancelled);
        }
        match &self.phase {
            Phase::Sealing { .. } if self.is_sealing_at(agent) => self.progress(views, now),
            Phase::Gathering(_) => self.gathered(agent, report, views, now),
            Phase::Owning => self.learned(agent, report, views, now),
            Phase::Closing { witness } if witness.as_ref() == Some(agent) => {
                self.regather(views, now)
            }
            _ => Vec::new(),
        }
    }

    pub(super) fn unfenced(
        &mut self,
        agent: &Process,
        reject: &Reject,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        if self.is_sealing_at(agent) {
            return self.unsealed(agent, reject, views, now);
        }
        let witness = match &self.phase {
            Phase::Gathering(gather) if gather.misses(agent) => false,
            Phase::Closing { witness } if witness.as_ref() == Some(agent) => true,
            _ => return Vec::new(),
        };
        match reject {
            Reject::Forgotten => self.fail(FailureReason::Forgotten),
            Reject::Mismatch => self.mismatch(),
            Reject::Leaving if witness => {
                self.barred.insert(agent.clone());
                self.close(views, now)
            }
            _ => Vec::new(),
        }
    }

    /// The fences not answered yet.
    pub(super) fn fences(&self) -> Vec<Action> {
        let Phase::Gathering(gather) = &self.phase else {
            return Vec::new();
        };
        let fence = |agent: &Process| self.fence(agent, gather.scope.view, false);
        gather.missing.iter().map(fence).collect()
    }

    pub(super) fn fence(&self, agent: &Process, view: u64, close: bool) -> Action {
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

    /// Closes the job at a witness. The keeper's word alone would be lost with it: a
    /// later gather may miss the keeper, but not the witness.
    pub(super) fn close(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        if guard::has_witness(false) {
            return self.finish(JobOutcome::Refused);
        }
        let Some(scope) = &self.scope else {
            return Vec::new();
        };
        let Some(fresh) = views.scope(self.job, now) else {
            return self.fail(FailureReason::Forgotten);
        };
        let able =
            |agent: &&Process| self.may_place_at(agent, views) && !self.lost.contains(*agent);
        let witness = views
            .gather_targets(self.job, scope)
            .iter()
            .find(able)
            .cloned();
        // After a gather those that came since can be witnesses as well.
        let gathered = self.ballot.round > Ballot::FRESH && scope.view == fresh.view;
        if witness.is_none() && !gathered {
            return self.regather(views, now);
        }
        let fence = witness
            .as_ref()
            .map(|agent| self.fence(agent, fresh.view, true));
        self.phase = Phase::Closing { witness };
        fence.into_iter().collect()
    }

    /// Before a refusal the keeper is closed, if the attempt has not gathered.
    pub(super) fn refuse(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        if self.ballot.round == Ballot::FRESH {
            return self.ask(Purpose::Refuse, views, now);
        }
        self.close(views, now)
    }

    fn gathered(
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
            gather.note(task, agent, state);
        }
        if !guard::is_gather_complete(gather.missing.len()) {
            return Vec::new();
        }
        let found = std::mem::take(&mut gather.found);
        self.scope = Some(gather.scope.clone());
        self.tasks.release();
        for (task, (agent, state)) in found {
            self.note_ran(&agent, &state);
            self.tasks.set(task, stand(agent, state));
        }
        self.own(views, now)
    }
}

impl Gather {
    /// Notes a reported task. A leaving agent's end is reported by two others; an end
    /// goes before a state that is still open.
    fn note(&mut self, task: Task, agent: &Process, state: TaskState) {
        let ended = matches!(self.found.get(&task), Some((_, TaskState::Ended(_))));
        if !ended {
            self.found.insert(task, (agent.clone(), state));
        }
    }

    pub(super) const fn view(&self) -> u64 {
        self.scope.view
    }

    pub(super) fn misses(&self, agent: &Process) -> bool {
        self.missing.contains(agent)
    }
}

pub(super) fn stand(agent: Process, state: TaskState) -> Stand {
    match state {
        TaskState::Running => Stand::Running { agent },
        TaskState::Ended(outcome) => Stand::Ended(outcome),
    }
}
