//! What an agent knows of an entry that places tasks on it.

use super::offer::Asked;
use crate::message::AttemptResult;
use crate::timing::CONTACT_TIMEOUT;
use std::collections::VecDeque;
use std::time::Duration;

/// An entry, as long as it is linked or ends are kept for it.
#[derive(Clone, Debug, Default)]
pub(super) struct Owner {
    pub(super) is_linked: bool,
    /// Whether it has been told to place nothing more here.
    pub(super) is_retired: bool,
    /// This agent's clock as the entry last echoed it.
    pub(super) echo: Duration,
    /// What it waits for.
    pub(super) asked: Option<Asked>,
    /// The number of its last orders.
    pub(super) serial: u64,
    /// When it was last told of the room.
    pub(super) told: Duration,
    /// Ends that it may not have heard of, each with the time until which it is kept.
    pub(super) kept: VecDeque<(Duration, AttemptResult)>,
}

impl Owner {
    /// A new link counts its orders anew.
    pub(super) const fn link(&mut self) {
        self.is_linked = true;
        self.is_retired = false;
        self.serial = 0;
    }

    pub(super) fn heard(&mut self, echo: Duration) {
        self.echo = self.echo.max(echo);
    }

    pub(super) fn keep(&mut self, results: &[AttemptResult], now: Duration, keep: Duration) {
        let kept = results.iter().map(|result| (now + keep, *result));
        self.kept.extend(kept);
    }

    pub(super) fn forget(&mut self, now: Duration) {
        while self.kept.front().is_some_and(|(until, _)| *until <= now) {
            self.kept.pop_front();
        }
    }

    pub(super) fn is_idle(&self, now: Duration) -> bool {
        self.kept.is_empty() && now.saturating_sub(self.echo) >= CONTACT_TIMEOUT
    }
}
