//! The owner and the keeper: what is asked, and what follows from the answer.

use super::event::{Action, FailureReason};
use super::machine::{Owner, Phase};
use crate::Ballot;
use crate::message::{ClaimReply, ClaimRequest, Purpose};
use crate::view::ViewHistory;
use cassiarock_id::Wall;

impl Owner {
    pub(super) fn ask(&mut self, purpose: Purpose, views: &ViewHistory, now: Wall) -> Vec<Action> {
        let Some(scope) = views.scope(self.job, now) else {
            return self.blind(purpose, views);
        };
        let Some(keeper) = scope.keeper.clone() else {
            return self.blind(purpose, views);
        };
        let request = ClaimRequest {
            job: self.job,
            digest: self.digest,
            purpose,
            view: scope.view,
            sole_keeper: scope.sole_keeper,
            ballot: self.ballot.clone(),
        };
        let lost = self.lost.contains(&keeper);
        self.phase = Phase::Asking { purpose, scope };
        if lost {
            return self.unkept(views, now);
        }
        vec![Action::RequestClaim { keeper, request }]
    }

    /// Without a view nothing can be asked; with one, a job without a scope is too old.
    fn blind(&mut self, purpose: Purpose, views: &ViewHistory) -> Vec<Action> {
        if views.view().is_some_and(|view| !view.members.is_empty()) {
            return self.fail(FailureReason::Forgotten);
        }
        self.phase = Phase::Blind(purpose);
        Vec::new()
    }

    pub(super) fn answered(
        &mut self,
        view: u64,
        reply: ClaimReply,
        views: &ViewHistory,
        now: Wall,
    ) -> Vec<Action> {
        let Phase::Asking { purpose, scope } = &self.phase else {
            return Vec::new();
        };
        // A grant holds with what the asked view says, such as which keeper runs nothing.
        if scope.view != view {
            return Vec::new();
        }
        match reply {
            ClaimReply::Granted(ballot) if ballot == self.ballot => {
                self.scope = Some(scope.clone());
                self.own(views, now)
            }
            ClaimReply::Gather(ballot) if ballot.same_owner(&self.ballot) => {
                self.gather(ballot.round, views, now)
            }
            ClaimReply::Owned(owner) if !owner.same_owner(&self.ballot) => self.attach(owner),
            // An owner without the keeper's grant has fenced the agents: no witness is to
            // be had, and only a gather tells what it started.
            ClaimReply::Closed if matches!(purpose, Purpose::TakeOver { .. }) => {
                self.unkept(views, now)
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

    pub(super) fn replace(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        let Phase::Attached(owner) = &self.phase else {
            return Vec::new();
        };
        let over = owner.round;
        self.ask(Purpose::TakeOver { over }, views, now)
    }

    /// The keeper is out of reach: gather without it, or with it if it isn't exempt.
    pub(super) fn unkept(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        let Phase::Asking { purpose, .. } = &self.phase else {
            return Vec::new();
        };
        let over = match purpose {
            Purpose::TakeOver { over } => *over,
            Purpose::Claim | Purpose::Refuse => Ballot::FRESH,
        };
        self.gather(over.saturating_add(1), views, now)
    }
}
