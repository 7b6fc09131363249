//! The status of a follower.

use cassiarock_rule::State;
use std::sync::Arc;

/// The newest state and how current it is.
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
    /// Whether retention deleted records after the state that were never read; the follower then
    /// waits for a snapshot or a peer's state.
    pub searching: bool,
}

impl Status {
    /// Raises `max_agents` to the number of agents in the state.
    pub(super) fn update_max_agents(&mut self) {
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
