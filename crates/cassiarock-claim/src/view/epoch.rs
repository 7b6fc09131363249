//! One membership version in an entry's history, and which agents have adopted it.

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
    /// lease. A name's older incarnations have ended, because only one process holds a name.
    moved_on: HashMap<Name, u64>,
}

impl Epoch {
    pub(super) fn new(view: View) -> Self {
        Self {
            view,
            settled: None,
            moved_on: HashMap::new(),
        }
    }

    /// Records that `agent` has held this view for a lease. Returns true if that was not
    /// known yet of this or a newer incarnation.
    pub(super) fn record_moved_on(&mut self, agent: &Process) -> bool {
        let newest = self.moved_on.entry(agent.name.clone()).or_insert(0);
        let is_new = *newest < agent.incarnation;
        *newest = agent.incarnation.max(*newest);
        is_new
    }

    /// Whether any agent has moved on to this view; without one it can't be settled.
    pub(super) fn may_settle(&self) -> bool {
        !self.moved_on.is_empty()
    }

    /// Whether a majority of an older view's members has moved on to this view. `has_retired`
    /// says which members had announced their own departure by this version.
    pub(super) fn has_majority_of(
        &self,
        older: &View,
        has_retired: impl Fn(&Process) -> bool,
    ) -> bool {
        let has_moved_on = |member: &&Process| {
            let newest = self.moved_on.get(&member.name);
            newest.is_some_and(|newest| *newest >= member.incarnation) || has_retired(member)
        };
        let count = older.members.iter().filter(has_moved_on).count();
        // Nobody can act by a view without members, and it could never have a majority.
        older.members.is_empty() || count > older.members.len() / 2
    }
}
