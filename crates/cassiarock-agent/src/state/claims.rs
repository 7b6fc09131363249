//! The agent's part in the at-most-once protocol: keeps claims, accepts fences and hands its
//! records over.

use super::tasks::rejected;
use super::{Action, State};
use crate::actor::Handover;
use cassiarock_claim::Ballot;
use cassiarock_claim::message::{ClaimReply, ClaimRequest, Fence, FenceReport, Reject};
use cassiarock_claim::view::View;
use cassiarock_id::{Job, Name, Process};
use cassiarock_policy::place::TaskKey;
use cassiarock_process::Now;
use cassiarock_wire::{Answered, Found, Frame, HandOver, Reported, TakenOver};
use std::collections::{BTreeSet, HashMap};

/// At how many agents the records of a leaving agent are kept, if there are as many.
const HANDOVER_COPIES: usize = 2;

impl State {
    pub(super) fn handle_claim(
        &mut self,
        entry: &Process,
        request: &ClaimRequest,
        now: Now,
    ) -> Vec<Action> {
        let answer = self.keeper.answer(request, &self.view, now.wall);
        log::debug!(job:% = request.job, entry:% = entry, answer:? = answer; "claim");
        let owner = match &answer {
            ClaimReply::Owned(owner) => self.address(owner),
            _ => None,
        };
        let answered = Answered {
            job: request.job,
            ballot: request.ballot.clone(),
            view: request.view,
            answer,
            owner,
        };
        vec![Action::Send(entry.clone(), Frame::Answered(answered))]
    }

    /// Tells an entry that looks for a job's answer which entry owns the job.
    pub(super) fn handle_find(&self, entry: &Process, job: Job) -> Vec<Action> {
        let owner = self.keeper.owner(job);
        let found = Found {
            job,
            owner: owner.map(|ballot| ballot.entry.clone()),
            address: owner.and_then(|ballot| self.address(ballot)),
        };
        vec![Action::Send(entry.clone(), Frame::Found(found))]
    }

    pub(super) fn handle_fence(&mut self, entry: &Process, fence: &Fence, now: Now) -> Vec<Action> {
        let fenced = self.ledger.fence(fence, now.wall);
        log::info!(job:% = fence.job, entry:% = entry, round = fence.ballot.round; "fence");
        let mut actions = Vec::new();
        let report = fenced.map(|fenced| {
            for task in &fenced.withdrawn {
                actions.extend(self.withdraw(TaskKey::new(fence.job, *task), fence, now));
            }
            fenced.report
        });
        let owner = report
            .as_ref()
            .ok()
            .and_then(|r: &FenceReport| self.address(&r.ballot));
        let reported = Reported {
            job: fence.job,
            ballot: fence.ballot.clone(),
            report,
            owner,
        };
        let frame = Frame::Reported(Box::new(reported));
        actions.push(Action::Send(entry.clone(), frame));
        actions
    }

    /// Removes a waiting task from the queue and reports that to the attempt that placed it.
    fn withdraw(&mut self, key: TaskKey, fence: &Fence, now: Now) -> Option<Action> {
        self.slots.cancel(&key);
        let assigned = self.queued.remove(&key)?;
        let reject = Reject::Fenced(fence.ballot.clone());
        let load = self.load_for(&assigned.entry, now);
        Some(rejected(&assigned, reject, load))
    }

    pub(super) fn accept_handover(&mut self, agent: &Process, records: HandOver) -> Vec<Action> {
        let accepted = self.ledger.accepts_handover_from(agent);
        if accepted {
            self.keeper.accept_handover(records.claims);
            self.ledger.accept_handover(records.kept, records.floor);
        }
        let receipt = Frame::TakenOver(TakenOver { accepted });
        vec![Action::Send(agent.clone(), receipt)]
    }

    /// The records that other agents must hold before this one leaves. Agents in `excluded` are
    /// passed over as long as enough others remain at which the records can be found.
    pub(crate) fn hand_over(&mut self, excluded: &BTreeSet<Process>) -> Handover {
        let others = self.view.members.iter().filter(|other| **other != self.me);
        let candidates = others.clone().filter(|other| !excluded.contains(*other));
        let enough = others.count().min(HANDOVER_COPIES);
        let view = if candidates.clone().count() >= enough {
            View::new(self.view.version, candidates.cloned())
        } else {
            self.view.clone()
        };
        let mut records: HashMap<Process, HandOver> = HashMap::new();
        for (agent, claims) in self.keeper.hand_over(&view) {
            records.entry(agent).or_default().claims = claims;
        }
        for (agent, kept) in self.ledger.hand_over(&view) {
            records.entry(agent).or_default().kept = kept;
        }
        let floor = self.ledger.floor();
        for records in records.values_mut() {
            records.floor = floor;
        }
        Handover {
            version: self.view.version,
            records,
        }
    }

    fn address(&self, ballot: &Ballot) -> Option<Name> {
        let entry = self.entries.get(&ballot.entry)?;
        Some(entry.address.clone())
    }
}
