//! The agent's side: which tasks run on its upstream, for whom, and until when.

mod entries;
mod entry_state;
mod health;
mod incarnations;
mod lease;
mod offer;
mod orders;
mod run;
mod snapshots;
mod upstream;
mod worker;

pub use run::{AttemptKey, Run, Snapshot, StartResponse, Task};
pub use snapshots::poll_backoff;
pub use worker::Worker;

use crate::Decision;
use crate::message::Message;
use crate::timing::HEARTBEAT_INTERVAL;
use cassiarock_id::{Name, Process};
use entry_state::EntryState;
use health::Health;
use lease::Lease;
use offer::Offer;
use run::Runs;
use std::collections::BTreeMap;
use std::time::Duration;

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an entry.
    Send(Process, Message),
    /// Order the upstream to start a task; answer with [`Host::handle_start_response`].
    Start {
        /// The task and its attempt.
        task: Task,
        /// What the task is told.
        spec: Name,
        /// On the upstream's clock, in milliseconds: after this the order is void.
        until: u64,
    },
    /// Order the upstream to stop a task; its end comes with a poll.
    Stop(Task),
    /// Poll the upstream at once, beside the poll that waits.
    Poll,
    /// A line for the log.
    Log(Decision),
}

/// What an agent knows of its upstream and of the tasks on it.
#[derive(Debug, Default)]
pub struct Host {
    /// The upstream's present life, as its last report says.
    worker: Option<Worker>,
    /// What has been ordered and has not ended.
    runs: Runs,
    /// The entries that have tasks here, or are linked.
    entries: BTreeMap<Process, EntryState>,
    /// What the latest ends tell of the upstream.
    health: Health,
    /// The upstream's clock and leases.
    lease: Lease,
    /// Since when the upstream's present life is known.
    incarnation_known_since: Duration,
    /// What orders to the upstream carry; it rises from life to life.
    fence: u64,
    /// What the fence rises by if it is turned away once more.
    fence_step: u64,
    /// Ends of the upstream up to this number have been taken.
    last_seen_end: u64,
    /// Whether the upstream has been looked at in its present life. Until then an earlier
    /// life of the agent may have tasks on it, so nothing is started.
    is_reconciled: bool,
    /// Whether this agent takes no new work.
    is_leaving: bool,
    /// Whether operators are emptying the data centre.
    is_evacuated: bool,
    /// Room that is held for an entry.
    offer: Option<Offer>,
}

impl Host {
    /// An agent that knows no upstream.
    ///
    /// ```
    /// assert!(cassiarock_transient::Host::new().worker().is_none());
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The upstream as its last report says, if there is one.
    #[must_use]
    pub const fn worker(&self) -> Option<&Worker> {
        self.worker.as_ref()
    }

    /// How many attempts are on the upstream.
    #[must_use]
    pub fn attempt_count(&self) -> usize {
        self.runs.len()
    }

    /// The number of the last end taken, for the next poll. None counts while the upstream does
    /// not answer: if it starts again under its id, it numbers its ends anew.
    #[must_use]
    pub fn last_seen_end(&self, now: Duration) -> u64 {
        if self.lease.is_silent(now) {
            0
        } else {
            self.last_seen_end
        }
    }

    /// Carries out what is due.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.stop_abandoned(now, &mut actions);
        self.retry_unconfirmed_stops(now, &mut actions);
        self.expire_leases(now, &mut actions);
        for state in self.entries.values_mut() {
            state.drop_expired_results(now);
        }
        let runs = &self.runs;
        self.entries
            .retain(|entry, state| state.is_linked || !state.is_idle(now) || runs.has_entry(entry));
        self.offer(now, &mut actions);
        self.send_due_heartbeats(now, &mut actions);
        actions
    }

    /// When [`Self::poll`] has to be called next.
    #[must_use]
    pub fn next_poll(&self, now: Duration) -> Duration {
        let linked = self.entries.values().filter(|state| state.is_linked);
        let next = linked.map(|state| state.last_load_sent + HEARTBEAT_INTERVAL).min();
        let next = next.unwrap_or(now + HEARTBEAT_INTERVAL);
        self.offered_until().map_or(next, |until| next.min(until))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
