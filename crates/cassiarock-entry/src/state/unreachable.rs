//! Agents that have been out of reach for long.

use super::{Action, State};
use cassiarock_id::Process;
use cassiarock_process::Now;
use std::collections::HashMap;
use std::time::Duration;

/// How long a member may be out of reach before this entry announces that it has gone.
/// Far above a replacement's restart or a short cut, because a removed agent's running
/// tasks end as "may have run"; far below the time in which jobs kept by a dead agent
/// have to be gathered.
const REMOVAL_DELAY: Duration = Duration::from_secs(15);

impl State {
    /// Announces the members that have been out of reach for long.
    ///
    /// Made for agents whose VM died. An entry that is cut off itself takes all agents
    /// for dead: it has no majority, hence no authority, and removes none. What several
    /// entries remove together is bounded by the fold.
    pub(super) fn remove_unreachable(&mut self, now: Now) -> Vec<Action> {
        let authority = self.views.authority_until();
        if self.unreachable.is_empty() || authority.is_none_or(|until| until <= now.wall) {
            return Vec::new();
        }
        let overdue = self.unreachable.iter();
        let overdue = overdue.filter(|(_, since)| now.up.saturating_sub(**since) >= REMOVAL_DELAY);
        let overdue: Vec<Process> = overdue.map(|(agent, _)| agent.clone()).collect();
        for agent in &overdue {
            // Asked again after as long, if the log does not take it.
            self.unreachable.insert(agent.clone(), now.up);
        }
        overdue.into_iter().map(Action::Remove).collect()
    }

    /// Brings the silent members in line with a new membership.
    pub(super) fn update_unreachable(&mut self, now: Now) {
        let members = self.rules.membership.members.values();
        let unlinked = members.filter(|member| !self.agents.contains_key(&member.process));
        let unreachable: HashMap<Process, Duration> = unlinked
            .map(|member| {
                let since = self.unreachable.get(&member.process);
                (member.process.clone(), since.copied().unwrap_or(now.up))
            })
            .collect();
        self.unreachable = unreachable;
    }
}
