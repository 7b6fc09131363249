//! The agent's view of an entry that places tasks on it.

use super::offer::PendingRequest;
use crate::message::AttemptResult;
use crate::timing::CONTACT_TIMEOUT;
use std::collections::VecDeque;
use std::time::Duration;

/// State of an entry, kept while it is linked or results are retained for it.
#[derive(Clone, Debug, Default)]
pub(super) struct EntryState {
    pub(super) is_linked: bool,
    /// Whether it has been told to place no more tasks here.
    pub(super) is_retired: bool,
    /// This agent's clock as last echoed by the entry.
    pub(super) echo: Duration,
    /// The capacity that it requests.
    pub(super) request: Option<PendingRequest>,
    /// The serial number of its last orders.
    pub(super) serial: u64,
    pub(super) share: super::shares::Share,
    /// When it was last sent the load of the upstream.
    pub(super) last_load_sent: Duration,
    /// Results that it may not have received, each with the time until which it is kept.
    pub(super) retained: VecDeque<(Duration, AttemptResult)>,
}

impl EntryState {
    /// Marks the entry as linked. Serial numbers of orders start again on a new link.
    pub(super) const fn link(&mut self) {
        self.is_linked = true;
        self.is_retired = false;
        self.serial = 0;
        self.share = super::shares::Share { told: crate::Resources { cpu: 0, memory: 0, accelerators: 0 }, ..self.share };
    }

    pub(super) fn record_echo(&mut self, echo: Duration) {
        self.echo = self.echo.max(echo);
    }

    pub(super) fn retain_results(
        &mut self,
        results: &[AttemptResult],
        now: Duration,
        retention: Duration,
    ) {
        let retained = results.iter().map(|result| (now + retention, *result));
        self.retained.extend(retained);
    }

    pub(super) fn drop_expired_results(&mut self, now: Duration) {
        while self
            .retained
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.retained.pop_front();
        }
    }

    pub(super) fn is_idle(&self, now: Duration) -> bool {
        self.retained.is_empty() && now.saturating_sub(self.echo) >= CONTACT_TIMEOUT
    }
}
