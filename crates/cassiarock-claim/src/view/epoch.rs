//! One membership version in an entry's history, and who has left it behind.

use super::View;
use cassiarock_id::{Name, Process, Wall};
use std::collections::HashMap;

/// A view that an entry adopted.
#[derive(Debug)]
pub(super) struct Epoch {
    pub(super) view: View,
    /// When the entry learned that nobody acts by an older view any more.
    pub(super) settled: Option<Wall>,
    /// The newest incarnation per name that has held this view, or a later one, for a
    /// lease. A name's older incarnations have ended: one process has the name's slot.
    moved: HashMap<Name, u64>,
}

impl Epoch {
    pub(super) fn new(view: View) -> Self {
        Self {
            view,
            settled: None,
            moved: HashMap::new(),
        }
    }

    /// Notes that `agent` has held this view for a lease; true if that is news.
    pub(super) fn note(&mut self, agent: &Process) -> bool {
        let newest = self.moved.entry(agent.name.clone()).or_insert(0);
        let news = *newest < agent.incarnation;
        *newest = agent.incarnation.max(*newest);
        news
    }

    /// Whether enough have moved that the count below can succeed at all.
    pub(super) fn may_settle(&self) -> bool {
        !self.moved.is_empty()
    }

    /// Whether a majority of an older view's members has moved on to this view.
    /// `retired` tells of members that announced their own end by this version.
    pub(super) fn outlived(&self, older: &View, retired: impl Fn(&Process) -> bool) -> bool {
        let moved = |member: &&Process| {
            let newest = self.moved.get(&member.name);
            newest.is_some_and(|newest| *newest >= member.incarnation) || retired(member)
        };
        let count = older.members.iter().filter(moved).count();
        // Nobody can act by a view without members, and nobody could ever outlive it.
        older.members.is_empty() || count > older.members.len() / 2
    }
}
