//! Closing what is left of a job of which some tasks ran: after a cancellation, a failed
//! task or a missed deadline. The answer says which tasks did not run, and a later
//! take-over would otherwise find them unstarted and start them.

use super::event::{Action, FailureReason};
use super::machine::{Owner, Phase};
use crate::message::{Reject, TaskState};
use crate::view::ViewHistory;
use cassiarock_id::{Process, Wall};

impl Owner {
    /// Closes the job at an agent that ran a task of it. No gather may miss that agent,
    /// so that each later attempt meets the mark, or can prove nothing and starts nothing.
    pub(super) fn seal(&mut self, reason: FailureReason, views: &ViewHistory) -> Vec<Action> {
        // Other reasons claim of no task that it did not run.
        if self.sealed || reason != FailureReason::Cancelled {
            return self.fail(reason);
        }
        let able = |agent: &&Process| !self.lost.contains(*agent) && !views.has_ended(agent);
        let Some(witness) = self.ran.iter().find(able).cloned() else {
            return self.fail(FailureReason::Unprovable);
        };
        let view = views.version().unwrap_or_default();
        let fence = self.fence(&witness, view, true);
        self.phase = Phase::Sealing { witness };
        vec![fence]
    }

    pub(super) fn is_sealing_at(&self, agent: &Process) -> bool {
        matches!(&self.phase, Phase::Sealing { witness } if witness == agent)
    }

    /// The witness does not take the mark; another one may.
    pub(super) fn unsealed(
        &mut self,
        agent: &Process,
        reject: &Reject,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        // A newer membership is on its way to this entry, which then asks again.
        if matches!(reject, Reject::View(_)) {
            return Vec::new();
        }
        self.ran.remove(agent);
        self.progress(views, now)
    }

    pub(super) fn note_ran(&mut self, agent: &Process, state: &TaskState) {
        if matches!(state, TaskState::Ended(_)) {
            self.ran.insert(agent.clone());
        }
    }
}
