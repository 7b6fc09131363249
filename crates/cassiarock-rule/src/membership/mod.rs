//! The membership of agents, folded from their announcements.

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

/// The standing of one process in the membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// A member that gets work.
    Active,
    /// A member that gets no new work.
    Leaving,
    /// It has left, was removed, or was replaced by a later incarnation. It must not act any
    /// more, and can rejoin only as a new incarnation.
    Departed,
    /// It is not known: it has not announced itself, or must do so again.
    Absent,
}

/// The agents at one membership version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// One more than the offset of the last record that changed it; 0 before the first.
    pub version: u64,
    /// The agents by name.
    pub members: BTreeMap<Name, Member>,
    /// The processes that have departed.
    pub departures: Departures,
    /// Recent removals by other processes.
    #[serde(default)]
    pub removals: Removals,
    /// Recent changes.
    #[serde(default)]
    pub history: History,
}

impl Membership {
    /// The standing of `process`.
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

    /// Adds an agent that announces itself; a later incarnation replaces an earlier one.
    pub(crate) fn join(&mut self, version: u64, member: &Member) -> Effect {
        match self.standing(&member.process) {
            Standing::Active | Standing::Leaving => Effect::Ignored,
            // A join can arrive after the process was removed, because it was appended again
            // after a lost response or by a process that was paused. Accepting it would add an
            // agent that no longer runs, and it would get work until it is removed again.
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

    /// Removes a process that left by itself, or that another process removed.
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

    /// Removes a process that handed its state over to the members at version `handed_at`. If
    /// the membership has changed since, one of those members may have departed as well: the
    /// process is then removed but not retired, and must hand over again.
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

    /// All remembered views above version `after`, the oldest first.
    ///
    /// ```
    /// use cassiarock_rule::Membership;
    /// assert!(Membership::default().views(0).is_empty());
    /// ```
    #[must_use]
    pub fn views(&self, after: u64) -> Vec<PastView> {
        self.history.views(after, &self.members)
    }

    /// Advances the history to the time of an applied record.
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

    /// Starts or cancels the draining of an agent.
    pub(crate) fn drain(
        &mut self,
        version: u64,
        order: &DrainOrder,
        configuration: &Configuration,
    ) -> Effect {
        let Some(member) = self.members.get(order.agent) else {
            return Effect::Rejected(Reason::UnknownAgent(order.agent.clone()));
        };
        if order
            .incarnation
            .is_some_and(|incarnation| incarnation != member.process.incarnation)
        {
            return Effect::Rejected(Reason::Departed);
        }
        if member.leaving == order.leaving {
            return Effect::Ignored;
        }
        if let Some(reason) = self.drain_limit(member, order, configuration) {
            return Effect::Rejected(reason);
        }
        if let Some(member) = self.members.get_mut(order.agent) {
            member.leaving = order.leaving;
        }
        self.history.drain(version);
        self.version = version;
        Effect::Accepted
    }

    /// The reason to reject a drain that exceeds the share of a pool that may be leaving. Two
    /// operators that each drain a rack, or a script that drains too many agents, must not empty
    /// a pool and make all callers wait. The limit is checked in the fold, because a check before
    /// the append is outdated if another order comes first. At least one agent may always leave.
    fn drain_limit(
        &self,
        member: &Member,
        order: &DrainOrder,
        configuration: &Configuration,
    ) -> Option<Reason> {
        if order.force || !order.leaving {
            return None;
        }
        let pool = configuration.pools.get(&member.pool);
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

/// An operator's order to start or cancel the draining of an agent.
pub(crate) struct DrainOrder<'a> {
    pub agent: &'a Name,
    pub incarnation: Option<u64>,
    pub leaving: bool,
    pub force: bool,
}

/// Who reported the departure of a process; another process with the time of its report.
pub(crate) enum Remover {
    Itself,
    Other(Wall),
}
