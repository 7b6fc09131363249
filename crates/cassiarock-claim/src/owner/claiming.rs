//! Claim requests to the keeper, and what follows from its reply.

use super::event::{Action, FailureReason};
use super::state_machine::{Owner, Phase};
use crate::Ballot;
use crate::message::{ClaimReply, ClaimRequest, Purpose};
use crate::view::ViewHistory;
use cassiarock_id::Wall;

impl Owner {
    pub(super) fn request_claim(
        &mut self,
        purpose: Purpose,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        let Some(scope) = views.scope(self.job, now) else {
            return self.handle_missing_scope(purpose, views);
        };
        let Some(keeper) = scope.keeper.clone() else {
            return self.handle_missing_scope(purpose, views);
        };
        let request = ClaimRequest {
            job: self.job,
            digest: self.digest,
            purpose,
            view: scope.view,
            sole_keeper: scope.sole_keeper,
            ballot: self.ballot.clone(),
        };
        let is_unreachable = self.unreachable.contains(&keeper);
        self.phase = Phase::AwaitingKeeper { purpose, scope };
        if is_unreachable {
            return self.gather_without_keeper(views, now);
        }
        vec![Action::RequestClaim { keeper, request }]
    }

    /// Without members in the view the request must wait. With members, a job without a
    /// scope is too old.
    fn handle_missing_scope(&mut self, purpose: Purpose, views: &ViewHistory) -> Vec<Action> {
        if views.view().is_some_and(|view| !view.members.is_empty()) {
            return self.fail(FailureReason::Forgotten);
        }
        self.phase = Phase::NoView(purpose);
        Vec::new()
    }

    pub(super) fn handle_claim_reply(
        &mut self,
        view: u64,
        reply: ClaimReply,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        let Phase::AwaitingKeeper { purpose, scope } = &self.phase else {
            return Vec::new();
        };
        // A grant is valid only with the scope of the view that the request carried, which
        // among others says which keeper runs no tasks.
        if scope.view != view {
            return Vec::new();
        }
        match reply {
            ClaimReply::Granted(ballot) if ballot == self.ballot => {
                self.scope = Some(scope.clone());
                self.start_owning(views, now)
            }
            ClaimReply::Gather(ballot) if ballot.same_owner(&self.ballot) => {
                self.gather(ballot.round, views, now)
            }
            ClaimReply::Owned(owner) if !owner.same_owner(&self.ballot) => self.attach(owner),
            // An owner without the keeper's grant has fenced the agents: no agent would
            // accept the closing, and only a gather tells what that owner started.
            ClaimReply::Closed if matches!(purpose, Purpose::TakeOver { .. }) => {
                self.gather_without_keeper(views, now)
            }
            ClaimReply::Closed => {
                self.scope = Some(scope.clone());
                self.close(views, now)
            }
            ClaimReply::Mismatch => self.mismatch(),
            ClaimReply::Forgotten => self.fail(FailureReason::Forgotten),
            ClaimReply::Granted(_)
            | ClaimReply::Gather(_)
            | ClaimReply::Owned(_)
            | ClaimReply::View(_) => Vec::new(),
        }
    }

    pub(super) fn replace_owner(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        let Phase::Attached(owner) = &self.phase else {
            return Vec::new();
        };
        let over = owner.round;
        self.request_claim(Purpose::TakeOver { over }, views, now)
    }

    /// Gathers because the keeper is unreachable. A keeper that is not exempt must still
    /// report.
    pub(super) fn gather_without_keeper(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        let Phase::AwaitingKeeper { purpose, .. } = &self.phase else {
            return Vec::new();
        };
        let over = match purpose {
            Purpose::TakeOver { over } => *over,
            Purpose::Claim | Purpose::Refuse => Ballot::FRESH,
        };
        self.gather(over.saturating_add(1), views, now)
    }
}
