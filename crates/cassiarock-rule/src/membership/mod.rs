//! The agents, as folded from their announcements.

mod departure;
mod history;
mod member;
mod removal;

pub use departure::{Departures, MAX_DEPARTURES};
pub use history::{History, PastView};
pub use member::Member;
pub use removal::Removals;

use crate::effect::{Effect, Reason};
use crate::{Configuration, configuration::Pool};
use cassiarock_id::{Name, Process, Wall};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What the membership says of one process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// A member that gets work.
    Active,
    /// A member that gets no new work.
    Leaving,
    /// It has left, was removed, or was replaced by a later incarnation. It must not act any
    /// more; it comes back only as a new incarnation.
    Departed,
    /// Nothing is known of it: it has not announced itself, or must do so again.
    Absent,
}

/// All agents at one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// One more than the offset of the last record that changed it; 0 before the first.
    pub version: u64,
    /// The agents by name.
    pub members: BTreeMap<Name, Member>,
    /// Those that have gone.
    pub departures: Departures,
    /// Those that others removed of late.
    #[serde(default)]
    pub removals: Removals,
    /// Its changes of late.
    #[serde(default)]
    pub history: History,
}

impl Membership {
    /// What it says of `process`.
    ///
    /// ```
    /// use cassiarock_id::Process;
    /// use cassiarock_rule::membership::{Membership, Standing};
    /// let process = Process::new("agent-1", 1);
    /// assert_eq!(Membership::default().standing(&process), Standing::Absent);
    /// ```
    #[must_use]
    pub fn standing(&self, process: &Process) -> Standing {
        if self.departures.contains(process) {
            return Standing::Departed;
        }
        match self.members.get(&process.name) {
            Some(member) if member.process.incarnation > process.incarnation => Standing::Departed,
            Some(member) if member.process != *process => Standing::Absent,
            Some(member) if member.leaving => Standing::Leaving,
            Some(_) => Standing::Active,
            None => Standing::Absent,
        }
    }

    /// An agent announces itself; a later incarnation takes the place of an earlier one.
    pub(crate) fn join(&mut self, version: u64, member: &Member) -> Effect {
        match self.standing(&member.process) {
            Standing::Active | Standing::Leaving => Effect::Ignored,
            // A join can arrive after the process was removed: appended again because its
            // answer was lost, or by a process that was paused. Taking it would bring back an
            // agent that nobody runs, to be given work until its removal times out again.
            Standing::Departed => Effect::Rejected(Reason::Departed),
            Standing::Absent => {
                let name = member.process.name.clone();
                let replaced = self.members.insert(name, member.clone());
                let replaced = replaced.as_ref().map(|member| &member.process);
                self.history.join(version, &member.process, replaced);
                self.version = version;
                Effect::Accepted
            }
        }
    }

    /// A process has gone: by its own word, or removed by another process at the given time.
    pub(crate) fn leave(&mut self, version: u64, process: &Process, by: Remover) -> Effect {
        match self.standing(process) {
            Standing::Active | Standing::Leaving => {}
            Standing::Departed | Standing::Absent => return Effect::Ignored,
        }
        if let Remover::Other(at) = by
            && let Err(reason) = self.removals.try_record(at, self.members.len())
        {
            return Effect::Rejected(reason);
        }
        self.remove(version, process, false);
        Effect::Accepted
    }

    /// A process has gone after it handed all it knew over to the members at
    /// `handed_at`. If the membership has changed since, one of those may have gone as
    /// well: then the process has left, and must hand over again.
    pub(crate) fn hand_over(&mut self, version: u64, process: &Process, handed_at: u64) -> Effect {
        let retired = self.version == handed_at;
        match self.standing(process) {
            Standing::Active | Standing::Leaving => self.remove(version, process, retired),
            Standing::Departed if retired => {
                self.history.retire(version, process);
                self.version = version;
            }
            Standing::Departed | Standing::Absent => return Effect::Ignored,
        }
        Effect::Accepted
    }

    /// All versions above `after` that are remembered, the oldest first.
    ///
    /// ```
    /// use cassiarock_rule::Membership;
    /// assert!(Membership::default().views(0).is_empty());
    /// ```
    #[must_use]
    pub fn views(&self, after: u64) -> Vec<PastView> {
        self.history.views(after, &self.members)
    }

    /// A record of this time is folded in.
    pub(crate) fn advance(&mut self, at: Wall) -> &mut Self {
        self.history.advance(at);
        self
    }

    fn remove(&mut self, version: u64, process: &Process, retired: bool) {
        self.members.remove(&process.name);
        self.departures.insert(version, process);
        self.history.leave(version, process, retired);
        self.version = version;
    }

    /// An agent is to leave, or to stay after all.
    pub(crate) fn drain(
        &mut self,
        version: u64,
        order: &DrainOrder,
        bounds: &Configuration,
    ) -> Effect {
        let Some(member) = self.members.get(order.agent) else {
            return Effect::Rejected(Reason::UnknownAgent(order.agent.clone()));
        };
        if order
            .incarnation
            .is_some_and(|one| one != member.process.incarnation)
        {
            return Effect::Rejected(Reason::Departed);
        }
        if member.leaving == order.leaving {
            return Effect::Ignored;
        }
        if let Some(reason) = self.bound(member, order, bounds) {
            return Effect::Rejected(reason);
        }
        if let Some(member) = self.members.get_mut(order.agent) {
            member.leaving = order.leaving;
        }
        self.history.drain(version);
        self.version = version;
        Effect::Accepted
    }

    /// Two operators that each drain a rack, or a script that drains too much, must not empty
    /// a pool: all callers would wait. The bound is part of the fold, because a check before
    /// the append is out of date once another order came first. At least one agent may leave.
    fn bound(&self, member: &Member, order: &DrainOrder, bounds: &Configuration) -> Option<Reason> {
        if order.force || !order.leaving {
            return None;
        }
        let pool = bounds.pools.get(&member.pool);
        let percent = pool.map_or(Pool::default().leaving_percent, |pool| pool.leaving_percent);
        let peers = self
            .members
            .values()
            .filter(|peer| peer.pool == member.pool);
        let (members, leaving) = peers.fold((0, 1), |(members, leaving), peer| {
            (members + 1, leaving + usize::from(peer.leaving))
        });
        let allowed = members * usize::try_from(percent).unwrap_or(usize::MAX) / 100;
        (leaving > allowed.max(1)).then(|| Reason::DrainLimit {
            pool: member.pool.clone(),
            leaving,
            members,
        })
    }
}

/// An order to an agent to leave or to stay.
pub(crate) struct DrainOrder<'a> {
    pub agent: &'a Name,
    pub incarnation: Option<u64>,
    pub leaving: bool,
    pub force: bool,
}

/// Who says that a process has gone.
pub(crate) enum Remover {
    Itself,
    Other(Wall),
}
