//! Changes of the log's state, and the membership views of the at-most-once protocol.

use super::{Action, State};
use cassiarock_claim::owner::Event;
use cassiarock_claim::view::{View, ViewHistory};
use cassiarock_process::Now;
use cassiarock_rule as rule;
use std::sync::Arc;

impl State {
    /// Adopts a newer state of rules, configuration and membership.
    pub(crate) fn adopt(&mut self, rules: Arc<rule::State>, now: Now) -> Vec<Action> {
        let before = self.membership();
        let former = std::mem::replace(&mut self.rules, rules);
        self.update_team_shares();
        self.update_unreachable(now);
        self.adopt_views();
        self.update_leaving_agents(&former);
        if self.membership() == before {
            return Vec::new();
        }
        self.views.evict(now.wall);
        self.step_owners(&Event::ViewChanged, now)
    }

    /// Applies new and cancelled orders to leave.
    fn update_leaving_agents(&mut self, former: &rule::State) {
        let membership = Arc::clone(&self.rules.membership);
        for member in membership.members.values() {
            let known = former.membership.members.get(&member.process.name);
            let left = known.is_some_and(|known| known.leaving);
            if member.leaving {
                self.set_agent_leaving(&member.process);
            } else if left && self.agents.contains_key(&member.process) {
                self.clear_agent_leaving(&member.process);
            }
        }
    }

    /// Adopts every version in order, because another entry may still act by any of them. If
    /// some versions are no longer kept, jobs issued earlier are never proved unstarted.
    fn adopt_views(&mut self) {
        let membership = Arc::clone(&self.rules.membership);
        let known = self.views.version();
        if known.is_none_or(|known| !membership.history.is_complete_since(known)) {
            let since = membership.history.known_since();
            self.views = ViewHistory::new(self.settings.timing(), since);
        }
        for view in membership.views(known.unwrap_or_default()) {
            self.views.adopt(View::new(view.version, view.members));
            if let Some((joined, at)) = view.joined {
                // Twice the skew: the agent that joined and the caller each have their own clock.
                let from = at.plus(self.settings.clock_skew * 2);
                self.views.record_successor(&joined, from);
            }
            if let Some(retired) = view.retired {
                self.views.record_retirement(retired, view.version);
            }
        }
        let members = membership.members.values();
        let members = members.map(|member| member.process.clone());
        self.views.adopt(View::new(membership.version, members));
    }
}
