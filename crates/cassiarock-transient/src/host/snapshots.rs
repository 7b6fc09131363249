//! Handles responses to polls of the upstream: results, unexpected tasks, expired leases.

use super::run::{Phase, Snapshot, Task};
use super::{Action, Host, millis};
use crate::Decision;
use crate::message::{AttemptResult, Message, Outcome};
use cassiarock_id::Process;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a poll waits for a result. No result arrives while a poll is left unanswered: with
/// longer waits, an agent whose upstream leaves one call in twenty unanswered would receive no
/// results most of the time.
const BUSY_POLL_WAIT: Duration = Duration::from_millis(40);

/// How long a poll waits while no task is running. The lease of a task that starts meanwhile is
/// still renewed in time afterwards, and one such poll may stay unanswered before the upstream
/// counts as silent.
const IDLE_POLL_WAIT: Duration = Duration::from_millis(150);

/// The backoff after the first failed poll.
const MIN_BACKOFF: Duration = Duration::from_millis(20);

/// The longest backoff after several failures in a row: an upstream that is back is noticed within
/// this time.
const MAX_BACKOFF: Duration = Duration::from_millis(160);

/// How long results are kept for an entry whose link is lost. After `RECLAIM_DELAY` the entry no longer
/// waits for them.
const RESULT_RETENTION: Duration = Duration::from_secs(2);

/// The backoff after this many failed polls in a row. It doubles with each failure up to a maximum.
///
/// It limits the load of polling an upstream that is down for seconds: each such poll takes a
/// connection.
///
/// ```
/// use cassiarock_transient::host::poll_backoff;
/// assert_eq!(poll_backoff(3), poll_backoff(1) * 4);
/// assert_eq!(poll_backoff(9), poll_backoff(100));
/// ```
#[must_use]
pub fn poll_backoff(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(u32::BITS - 1);
    MIN_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF)
}

impl Host {
    /// How long the next poll waits for a result.
    ///
    /// Polls of an idle upstream wait longer, since most upstreams of a system with free capacity
    /// run nothing.
    #[must_use]
    pub fn poll_wait(&self) -> Duration {
        if self.is_reconciled && self.runs.is_empty() {
            IDLE_POLL_WAIT
        } else {
            BUSY_POLL_WAIT
        }
    }

    /// Handles the response to a poll of the upstream.
    pub fn handle_snapshot(&mut self, snapshot: &Snapshot, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.accept_snapshot(snapshot, now, &mut actions) {
            return actions;
        }
        self.check_first_report(snapshot.clock, now, &mut actions);
        self.lease.record_clock(Some(snapshot.clock), now);
        if !self.is_reconciled && !snapshot.running.is_empty() {
            self.lease.record_foreign_lease(snapshot.clock);
        }
        for (number, job, attempt, outcome) in &snapshot.ended {
            if *number <= self.last_seen_end {
                continue;
            }
            self.last_seen_end = *number;
            if let Some(task) = self.runs.find_by_key(job, attempt) {
                self.finish(&task, *outcome, now, &mut actions);
            }
        }
        self.reconcile(snapshot, now, &mut actions);
        if !self.is_reconciled {
            self.is_reconciled = snapshot.running.is_empty();
            if self.is_reconciled {
                // Until now no room was reported, and entries that start wait for it.
                self.send_heartbeat_to_all(now, &mut actions);
            }
        }
        actions
    }

    /// Compares what the upstream runs with what was ordered. A task that was not ordered is stopped.
    pub(super) fn reconcile(
        &mut self,
        snapshot: &Snapshot,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let mut unknown = BTreeSet::new();
        for (job, attempt) in &snapshot.running {
            let Some(task) = self.runs.find_by_key(job, attempt) else {
                unknown.insert(Task::from_key(job, attempt));
                continue;
            };
            if let Some(run) = self.runs.get_mut(&task) {
                run.is_listed = true;
                if matches!(run.phase, Phase::Starting) {
                    run.phase = Phase::Running;
                }
            }
        }
        self.stop_strays(&unknown, snapshot, now, actions);
        self.finish_unlisted(snapshot, now, actions);
    }

    /// Finishes attempts whose orders are void and that the upstream does not list.
    pub(super) fn finish_unlisted(
        &mut self,
        snapshot: &Snapshot,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let void: Vec<Task> = self
            .runs
            .iter()
            .filter(|(task, run)| {
                let is_void = run.is_void_at(snapshot);
                let is_listed = snapshot
                    .running
                    .iter()
                    .any(|(job, attempt)| *job == task.job && attempt.matches(&task.attempt));
                is_void && !is_listed
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in void {
            let Some(run) = self.runs.get(&task) else {
                continue;
            };
            let outcome = match (run.in_flight, run.is_listed) {
                (Some(in_flight), false) => in_flight.outcome,
                (Some(_), true) => Outcome::Lost,
                (None, false) => Outcome::Refused,
                (None, true) => Outcome::Stopped,
            };
            self.finish(&task, outcome, now, actions);
        }
    }

    /// Ends all attempts once their leases must have expired: the upstream has not answered, and by
    /// its own clock it has ended all that ran there.
    pub(super) fn expire_leases(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.runs.is_empty() || !self.lease.has_lapsed(now) {
            return;
        }
        // One that answered while its leases were not renewed was alive until they ended.
        let was_withheld = self
            .withheld_since
            .is_some_and(|since| self.lease.has_answered_after(since));
        let (outcome, reason) = if was_withheld {
            (Outcome::Lost, "its leases were not renewed")
        } else {
            (self.outcome_of_loss(), "the upstream does not answer")
        };
        self.lose_all(outcome, reason, now, actions);
    }

    pub(super) fn finish(
        &mut self,
        task: &Task,
        outcome: Outcome,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        let ran = now.saturating_sub(run.since);
        // Of the outcomes, only completions and failures count as signs of the upstream's health;
        // unanswered starts and ordered stops don't.
        let expected = if self.notices.is_telling(run.since, now) {
            run.expected
        } else {
            Duration::ZERO
        };
        self.health.set_cold(self.notices.is_cold(now));
        self.health.record(&task.job, outcome, ran, expected, now);
        if !matches!(outcome, Outcome::Done) {
            let decision = Decision::new("ended", run.request.clone(), task.job.clone())
                .with("task", task)
                .with("end", format_args!("{outcome:?}"))
                .with("ran_ms", ran.as_millis())
                .with("expected_ms", run.expected.as_millis());
            actions.push(Action::Log(decision));
        }
        let result = AttemptResult {
            attempt: task.attempt,
            outcome,
            ran,
        };
        self.report_results(&run.entry, vec![result], now, actions);
    }

    pub(super) fn report_results(
        &mut self,
        entry: &Process,
        results: Vec<AttemptResult>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let state = self.entries.entry(entry.clone()).or_default();
        state.retain_results(&results, now, RESULT_RETENTION);
        if !state.is_linked {
            return;
        }
        state.last_load_sent = now;
        // Results of one poll are sent in one message, with the load after the last of them.
        if let Some(Action::Send(
            to,
            Message::Ended {
                results: more,
                load,
                ..
            },
        )) = actions.last_mut()
            && to == entry
        {
            more.extend(results);
            *load = self.load(entry, now);
            return;
        }
        let frees_room = results.iter().any(|result| !result.outcome.is_unstarted());
        if frees_room {
            match self.hold(now, actions) {
                Some(other) if other != *entry => self.send_heartbeat(&other, now, actions),
                Some(_) => {}
                None if !self.has_offer() => self.notify_another_entry(entry, now, actions),
                None => {}
            }
        }
        let message = self.ended_message(entry, results, now);
        actions.push(Action::Send(entry.clone(), message));
    }

    pub(super) fn ended_message(
        &self,
        entry: &Process,
        results: Vec<AttemptResult>,
        now: Duration,
    ) -> Message {
        Message::Ended {
            clock: millis(now),
            results,
            load: self.load(entry, now),
        }
    }
}
