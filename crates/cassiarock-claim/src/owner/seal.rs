//! Closing a job of which some tasks ran, after a cancellation, a failed task or a missed
//! deadline (sealing). The answer says which tasks did not run; without the closing, a later
//! take-over would find them unstarted and start them.

use super::event::{Action, FailureReason};
use super::state_machine::{Owner, Phase};
use crate::message::{Reject, TaskState};
use crate::view::ViewHistory;
use cassiarock_id::{Process, Wall};

impl Owner {
    /// Closes the job at an agent that ran a task of it. No gather may leave out that agent,
    /// so that every later attempt either learns that the job is closed, or can't complete
    /// its gather and starts nothing.
    pub(super) fn seal(&mut self, reason: FailureReason, views: &ViewHistory) -> Vec<Action> {
        // With any other reason the answer does not say of any task that it did not run.
        if self.sealed || reason != FailureReason::Cancelled {
            return self.fail(reason);
        }
        let is_usable =
            |agent: &&Process| !self.unreachable.contains(*agent) && !views.has_ended(agent);
        let Some(witness) = self.ran_at.iter().find(is_usable).cloned() else {
            return self.fail(FailureReason::Unprovable);
        };
        let view = views.version().unwrap_or_default();
        let fence = self.fence_action(&witness, view, true);
        self.phase = Phase::Sealing { witness };
        vec![fence]
    }

    pub(super) fn is_sealing_at(&self, agent: &Process) -> bool {
        matches!(&self.phase, Phase::Sealing { witness } if witness == agent)
    }

    /// The witness did not close the job; tries another one.
    pub(super) fn handle_seal_rejected(
        &mut self,
        agent: &Process,
        reject: &Reject,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        // A newer membership is on its way to this entry, which then tries again.
        if matches!(reject, Reject::View(_)) {
            return Vec::new();
        }
        self.ran_at.remove(agent);
        self.progress(views, now)
    }

    pub(super) fn record_ran(&mut self, agent: &Process, state: &TaskState) {
        if matches!(state, TaskState::Ended(_)) {
            self.ran_at.insert(agent.clone());
        }
    }
}
