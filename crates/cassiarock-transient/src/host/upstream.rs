//! The upstream's capacity, and what entries are told about it.

use super::run::{Run, Task};
use super::{Action, Host};
use crate::message::{Load, Message, Outcome, Upstream};
use crate::{Decision, Resources};
use cassiarock_id::Process;
use std::time::Duration;

/// A task is overdue once it has run this many times as long as expected, ...
const OVERDUE_FACTOR: f64 = 2.5;

/// ... and at least this much longer: estimates are off by 40%, and short tasks by the wait of a
/// poll.
const OVERDUE_MIN_DELAY: Duration = Duration::from_millis(120);

/// The upstream counts as stalled if at least this many tasks, and at least half of all that run,
/// are overdue.
const MIN_STALLED_TASKS: usize = 2;

/// The slowdown that is reported for a stalled upstream, in percent: well over the bound at which
/// entries avoid an upstream and move its tasks away.
const STALLED_SLOWDOWN_PERCENT: u16 = 400;

impl Host {
    /// Stops accepting new work for good.
    pub fn leave(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.is_leaving = true;
        self.announce_upstream(&mut actions, "the agent is leaving");
        actions
    }

    /// Sets whether operators are evacuating the data centre.
    ///
    /// Entries usually know this themselves. This covers an entry that does not, because it is cut
    /// off from the store and from the other entries, or whose orders were in flight: it is told
    /// that the upstream accepts no new work, and its orders are rejected and placed elsewhere.
    /// Running tasks may finish.
    pub fn set_evacuated(&mut self, is_evacuated: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_evacuated == is_evacuated {
            return actions;
        }
        self.is_evacuated = is_evacuated;
        let reason = if is_evacuated {
            "the data centre is being emptied"
        } else {
            "the data centre may be used again"
        };
        self.announce_upstream(&mut actions, reason);
        actions
    }

    /// Whether operators are evacuating the data centre.
    #[must_use]
    pub const fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }

    /// Whether nothing new may start here, whatever the upstream reports.
    pub(super) const fn is_closed(&self) -> bool {
        self.is_leaving || self.is_evacuated
    }

    /// Ends all attempts on the upstream with the same outcome.
    pub(super) fn lose_all(
        &mut self,
        outcome: Outcome,
        reason: &'static str,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let tasks: Vec<Task> = self.runs.iter().map(|(task, _)| task.clone()).collect();
        if !tasks.is_empty() {
            let decision = Decision::new("all lost", "", "")
                .with("reason", reason)
                .with("tasks", tasks.len())
                .failed();
            actions.push(Action::Log(decision));
        }
        for task in tasks {
            self.finish(&task, outcome, now, actions);
        }
    }

    /// Describes the upstream to all entries. The times that it has announced need not be repeated.
    pub(super) fn announce_upstream(&mut self, actions: &mut Vec<Action>, reason: &'static str) {
        self.announce(|_, upstream| upstream, actions, reason);
    }

    /// Describes the upstream to all entries, with the times that it has announced.
    pub(super) fn announce_upstream_at(
        &mut self,
        now: Duration,
        actions: &mut Vec<Action>,
        reason: &'static str,
    ) {
        let describe = |host: &Self, upstream| host.notices.describe(upstream, now);
        self.announce(describe, actions, reason);
    }

    fn announce(
        &mut self,
        describe: impl Fn(&Self, Upstream) -> Upstream,
        actions: &mut Vec<Action>,
        reason: &'static str,
    ) {
        let upstream = self.upstream().map(|upstream| describe(self, upstream));
        let mut decision = Decision::new("upstream", "", "").with("reason", reason);
        if let Some(upstream) = &upstream {
            decision = decision
                .with("upstream", upstream.incarnation())
                .with("service", &upstream.service)
                .with("cpu", upstream.capacity.cpu)
                .with("leaving", upstream.is_leaving)
                .with_millis("ends_in_ms", upstream.remaining)
                .with_millis("cold_for_ms", upstream.cold_remaining);
        }
        actions.push(Action::Log(decision));
        for (entry, state) in &self.entries {
            if state.is_linked {
                let upstream = self.upstream_for(entry);
                let upstream = upstream.map(|upstream| describe(self, upstream));
                let message = Message::Upstream(upstream);
                actions.push(Action::Send(entry.clone(), message));
            }
        }
    }

    /// The upstream as it is described to one entry.
    pub(super) fn upstream_for(&self, entry: &Process) -> Option<Upstream> {
        let mut upstream = self.upstream()?;
        let state = self.entries.get(entry);
        upstream.is_leaving |= state.is_some_and(|state| state.is_retired);
        Some(upstream)
    }

    pub(super) fn upstream(&self) -> Option<Upstream> {
        let worker = self.worker.as_ref().filter(|worker| worker.is_present())?;
        let mut upstream = worker.upstream();
        upstream.is_leaving |= self.is_closed();
        Some(upstream)
    }

    /// The slowdown shown by tasks that have not ended: an upstream on which all tasks hang reports
    /// no results and would otherwise look as good as before.
    fn stalled_slowdown(&self, now: Duration) -> u16 {
        let is_overdue = |run: &Run| {
            let bound = run
                .expected
                .mul_f64(OVERDUE_FACTOR)
                .max(run.expected + OVERDUE_MIN_DELAY);
            now >= run.since + bound
        };
        let overdue = self.runs.iter().filter(|(_, run)| is_overdue(run)).count();
        let is_stalled = overdue >= MIN_STALLED_TASKS && overdue * 2 >= self.runs.len();
        if is_stalled {
            STALLED_SLOWDOWN_PERCENT
        } else {
            0
        }
    }

    pub(super) fn free(&self) -> Resources {
        let capacity = self.worker.as_ref().map(|worker| worker.capacity);
        capacity
            .unwrap_or_default()
            .saturating_sub(&self.runs.taken())
    }

    /// Whether new tasks may start on the upstream.
    pub(super) fn is_open(&self, now: Duration) -> bool {
        let worker = self.worker.as_ref();
        self.is_reconciled
            && !self.lease.is_silent(now)
            && self.has_lease_for_starts(now)
            && !self.is_closed()
            && worker.is_some_and(|worker| worker.is_present() && !worker.is_leaving)
    }

    pub(super) fn load(&self, entry: &Process, now: Duration) -> Load {
        let is_open = self.is_open(now);
        let entries = self
            .entries
            .values()
            .filter(|state| state.is_linked)
            .count();
        Load {
            last_serial: self.entries.get(entry).map_or(0, |state| state.serial),
            free: if is_open {
                self.free_for(entry, now)
            } else {
                Resources::default()
            },
            failure_percent: self.health.failure_percent(now),
            slowdown_percent: self
                .health
                .slowdown_percent()
                .max(self.stalled_slowdown(now)),
            entries: u16::try_from(entries).unwrap_or(u16::MAX),
            is_offered: is_open && self.is_offered(entry, now),
        }
    }
}
