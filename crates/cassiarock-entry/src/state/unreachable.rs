//! Removes agents that have been unreachable for long.

use super::{Action, State};
use cassiarock_id::Process;
use cassiarock_process::Now;
use std::collections::HashMap;
use std::time::Duration;

/// How long a member may be unreachable before this entry announces that it has left. Far
/// longer than a replacement's restart or a short network failure, because the running tasks
/// of a removed agent end as "may have run"; far shorter than the time in which jobs kept by a
/// dead agent have to be gathered.
const REMOVAL_DELAY: Duration = Duration::from_secs(15);

impl State {
    /// Announces the members that have been unreachable for longer than `REMOVAL_DELAY`.
    ///
    /// This removes agents whose VM died. An entry that is itself cut off sees all agents as
    /// unreachable; without a majority it has no authority and removes none. The fold of the
    /// log bounds how many agents several entries remove together.
    pub(super) fn remove_unreachable(&mut self, now: Now) -> Vec<Action> {
        let authority = self.views.authority_until();
        if self.unreachable.is_empty() || authority.is_none_or(|until| until <= now.wall) {
            return Vec::new();
        }
        let overdue = self.unreachable.iter();
        let overdue = overdue.filter(|(_, since)| now.up.saturating_sub(**since) >= REMOVAL_DELAY);
        let overdue: Vec<Process> = overdue.map(|(agent, _)| agent.clone()).collect();
        for agent in &overdue {
            // If the append to the log fails, it is tried again after the same delay.
            self.unreachable.insert(agent.clone(), now.up);
        }
        overdue.into_iter().map(Action::Remove).collect()
    }

    /// Updates the unreachable members from the membership and the links.
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
