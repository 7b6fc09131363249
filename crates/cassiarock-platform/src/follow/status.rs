//! What a follower knows.

use cassiarock_rule::State;
use std::sync::Arc;

/// The state and how well it is known.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// The newest state; none until the log or a peer gave one.
    pub state: Option<Arc<State>>,
    /// Whether the log answered the last call.
    pub reachable: bool,
    /// Whether the state reached the end of the log at the last call that it answered.
    pub current: bool,
    /// The most agents that this process has seen, present or gone: as many may announce
    /// themselves at once, also when a restore has emptied the membership.
    pub max_agents: usize,
    /// Whether the log was cut beyond the state, which then waits for a snapshot or a peer.
    pub searching: bool,
}

impl Status {
    /// Notes how many agents the state holds.
    pub(super) fn count(&mut self) {
        let membership = self.state.as_ref().map(|state| &state.membership);
        let present = membership.map_or(0, |membership| membership.members.len());
        let gone = membership.map_or(0, |membership| membership.departures.len());
        self.max_agents = self.max_agents.max(present).max(gone);
    }

    /// The offset of the first record not yet folded in; 0 without a state.
    ///
    /// ```
    /// assert_eq!(cassiarock_platform::follow::Status::default().next(), 0);
    /// ```
    #[must_use]
    pub fn next(&self) -> u64 {
        self.state.as_ref().map_or(0, |state| state.next)
    }
}
