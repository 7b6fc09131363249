//! The agent's side: tracks the tasks on its upstream, the entries that ordered them, and their
//! leases.

mod candidate;
mod entries;
mod entry_state;
mod health;
mod incarnations;
mod lease;
mod notice;
mod offer;
mod orders;
mod renewal;
mod reports;
mod run;
mod snapshots;
mod strays;
mod upstream;
mod worker;

pub use run::{AttemptKey, Run, Snapshot, StartResponse, Task};
pub use snapshots::poll_backoff;
pub use worker::Worker;

use crate::message::Message;
use crate::timing::HEARTBEAT_INTERVAL;
use crate::{Decision, Incarnation};
use candidate::Candidate;
use cassiarock_id::{Name, Process};
use entry_state::EntryState;
use health::Health;
use lease::Lease;
use notice::Notices;
use offer::Offer;
use run::Runs;
use std::collections::BTreeMap;
use std::time::Duration;
use strays::Strays;

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an entry.
    Send(Process, Message),
    /// Order the upstream to start a task and report the response with
    /// [`Host::handle_start_response`].
    Start {
        /// The attempt to start.
        task: Task,
        /// The specification that is passed to the task.
        spec: Name,
        /// The time on the upstream's clock, in milliseconds, after which the order is void.
        until: u64,
    },
    /// Order the upstream to stop a task; the result comes with a poll.
    Stop(Task),
    /// Poll the upstream at once, in addition to the long poll in progress.
    Poll,
    /// Poll this incarnation over a connection of its own, without renewing leases: it has reported,
    /// and its answer or its rejection shows whether it is there.
    Verify(Incarnation),
    /// Write a decision to the log.
    Log(Decision),
}

/// The agent's state: its upstream, the tasks on it and the entries that use it.
#[derive(Debug, Default)]
pub struct Host {
    /// The upstream's current incarnation, as last reported.
    worker: Option<Worker>,
    /// The report that a poll has yet to prove, of another incarnation or of the present one.
    candidate: Option<Candidate>,
    /// The last report of the present incarnation that contradicts the ones before it.
    questioned: Option<Worker>,
    /// Attempts that were ordered and have not ended.
    runs: Runs,
    /// What runs on the upstream without an order of this agent's.
    strays: Strays,
    /// Entries that are linked or have tasks here.
    entries: BTreeMap<Process, EntryState>,
    /// When the upstream ends and when it is warm, as it has announced.
    notices: Notices,
    /// The health of the upstream, from its latest results.
    health: Health,
    /// The upstream's clock and leases.
    lease: Lease,
    /// When the upstream's current incarnation became known.
    incarnation_known_since: Duration,
    /// The clock of the report by which the current incarnation became known, until its first answer
    /// to a poll.
    first_clock: Option<u64>,
    /// The fencing token that orders to the upstream carry; it increases with each incarnation.
    fence: u64,
    /// The amount that the fence increases by the next time it is rejected.
    fence_step: u64,
    /// The number of the last result taken from the upstream.
    last_seen_end: u64,
    /// Whether a poll has shown that nothing runs on the upstream's current incarnation. Until then
    /// an earlier incarnation of this agent may have tasks on it, so nothing is started.
    is_reconciled: bool,
    /// Since when leases are not renewed because a task runs unasked or outlasts the contact with its
    /// entry.
    withheld_since: Option<Duration>,
    /// Whether this agent accepts no new work.
    is_leaving: bool,
    /// Whether operators are evacuating the data centre.
    is_evacuated: bool,
    /// Free capacity that is held for an entry.
    offer: Option<Offer>,
}

impl Host {
    /// Creates an agent that knows no upstream.
    ///
    /// ```
    /// assert!(cassiarock_transient::Host::new().worker().is_none());
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The upstream as last reported, if there is one.
    #[must_use]
    pub const fn worker(&self) -> Option<&Worker> {
        self.worker.as_ref()
    }

    /// The number of attempts on the upstream.
    #[must_use]
    pub fn attempt_count(&self) -> usize {
        self.runs.len()
    }

    /// The number of the last result taken, for the next poll. It is 0 while the upstream does not
    /// answer: if it restarts under its id, it numbers its results from 1 again.
    #[must_use]
    pub fn last_seen_end(&self, now: Duration) -> u64 {
        if self.lease.is_silent(now) {
            0
        } else {
            self.last_seen_end
        }
    }

    /// Performs everything that is due by time: stops, lease expiry, offers and heartbeats.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.health.set_cold(self.notices.is_cold(now));
        self.stop_abandoned(now, &mut actions);
        self.retry_unconfirmed_stops(now, &mut actions);
        self.log_renewals(now, &mut actions);
        self.expire_leases(now, &mut actions);
        self.verify_candidate(now, &mut actions);
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

    /// The time at which [`Self::poll`] has to be called next.
    #[must_use]
    pub fn next_poll(&self, now: Duration) -> Duration {
        let linked = self.entries.values().filter(|state| state.is_linked);
        let next = linked
            .map(|state| state.last_load_sent + HEARTBEAT_INTERVAL)
            .min();
        let next = next.unwrap_or(now + HEARTBEAT_INTERVAL);
        let due = [self.offered_until(), self.next_verification()];
        due.into_iter().flatten().fold(next, Duration::min)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
