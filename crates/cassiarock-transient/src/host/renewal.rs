//! Decides whether the leases on the upstream may be renewed.
//!
//! A lease holds everything that runs on the upstream, also a task that its entry has given up. The
//! caller of such a task may submit it again, and it may start elsewhere, as soon as the time for
//! stopping it is over. So leases are renewed only while each task was ordered by this process, and
//! is still in the time in which the process may act for its entry. If one outlasts that time, its
//! lease ends within [`LEASE`](crate::timing::LEASE), whatever became of its stop, and all that runs
//! beside it ends too.

use super::run::{Run, Task};
use super::{Action, Host};
use crate::Decision;
use crate::timing::CONTACT_TIMEOUT;
use std::time::Duration;

/// The shortest lease with which a task is started while leases are not renewed. The stops that a
/// renewal waits for usually take a fraction of it.
const MIN_START_LEASE: Duration = Duration::from_millis(300);

impl Host {
    /// The time on the upstream's clock until which the next poll renews all leases. `None` if they
    /// are not to be renewed: while the upstream does not answer, so that they are certain to expire,
    /// before its first answer, as the clock of a report may be false, before a poll has shown that an
    /// earlier process of this agent has left nothing there, and while a task outlasts its entry.
    pub fn renew_leases(&mut self, now: Duration) -> Option<u64> {
        let may_renew = self.first_clock.is_none()
            && self.is_reconciled
            && !self.lease.is_silent(now)
            && self.hindrance(now).is_none();
        may_renew.then(|| self.lease.renew(now))
    }

    /// The time on the upstream's clock until which tasks that start now have their lease. `None` if
    /// it may end before it can be renewed.
    pub(super) fn lease_for_starts(&self, now: Duration) -> Option<u64> {
        if self.hindrance(now).is_none() {
            return Some(self.lease.full(now));
        }
        let suffices = self.lease.left(now) >= MIN_START_LEASE;
        suffices.then(|| self.lease.expiry())
    }

    /// Whether entries may count on [`Self::lease_for_starts`], as of the last [`Self::poll`].
    pub(super) fn has_lease_for_starts(&self, now: Duration) -> bool {
        self.withheld_since.is_none() || self.lease.left(now) >= MIN_START_LEASE
    }

    /// Notes that the entry of a task has given it up.
    pub(super) fn give_up(&mut self, task: &Task) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        // The echo is from before the message, however long that was on its way.
        let echo = self.entries.get(&run.entry).map(|state| state.echo);
        run.given_up_since = run.given_up_since.or(Some(echo.unwrap_or_default()));
    }

    /// When the entry of `run` last had contact with this agent while it waited for the task.
    fn last_contact(&self, run: &Run) -> Duration {
        let echo = || self.entries.get(&run.entry).map(|state| state.echo);
        run.given_up_since.or_else(echo).unwrap_or_default()
    }

    /// The task that has outlasted the contact with its entry for the longest time.
    fn outlasting_task(&self, now: Duration) -> Option<(&Task, Duration)> {
        let contacts = self.runs.iter();
        let contacts = contacts.map(|(task, run)| (task, self.last_contact(run)));
        let longest = contacts.min_by_key(|(_, contact)| *contact);
        longest.filter(|(_, contact)| now >= *contact + CONTACT_TIMEOUT)
    }

    /// What keeps leases from being renewed: a task whose lease has to end.
    fn hindrance(&self, now: Duration) -> Option<Hindrance<'_>> {
        let stray = self.strays.first();
        let stray = stray.map(|task| Hindrance {
            task,
            reason: "tasks run unasked",
            last_contact: None,
        });
        stray.or_else(|| {
            let (task, last_contact) = self.outlasting_task(now)?;
            Some(Hindrance {
                task,
                reason: "a task outlasts the contact with its entry",
                last_contact: Some(last_contact),
            })
        })
    }

    /// Logs when leases are no longer renewed, and when they are again.
    pub(super) fn log_renewals(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let hindrance = self.hindrance(now);
        let decision = match (&hindrance, self.withheld_since) {
            (Some(hindrance), None) => {
                let contact_age = hindrance.last_contact.map(|at| now.saturating_sub(at));
                Decision::new("renewal withheld", "", hindrance.task.job.clone())
                    .with("task", hindrance.task)
                    .with("reason", hindrance.reason)
                    .with_millis("contact_ms_ago", contact_age)
                    .with("lease_left_ms", self.lease.left(now).as_millis())
                    .with("tasks", self.runs.len())
            }
            (None, Some(since)) => Decision::new("renewal resumed", "", "")
                .with("after_ms", now.saturating_sub(since).as_millis())
                .with("tasks", self.runs.len()),
            _ => return,
        };
        self.withheld_since = hindrance.map(|_| now);
        actions.push(Action::Log(decision));
    }

    /// Whether the leases are not renewed since a task's lease has to end.
    #[must_use]
    pub const fn is_renewal_withheld(&self) -> bool {
        self.withheld_since.is_some()
    }
}

/// A task that keeps leases from being renewed.
struct Hindrance<'a> {
    task: &'a Task,
    reason: &'static str,
    /// The last contact with its entry, if it has one.
    last_contact: Option<Duration>,
}
