//! Reports that are believed only once the upstream's own answer to a poll has proved them.
//!
//! Anyone may send a report, and the network may deliver it late. Who is at the upstream's address
//! is shown by a poll that names the report's incarnation: no other one answers it.

use super::run::Snapshot;
use super::worker::Worker;
use super::{Action, Host, poll_backoff};
use crate::{Decision, Incarnation};
use std::time::Duration;

/// A report that awaits its proof.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    worker: Worker,
    /// When the report arrived.
    since: Duration,
    /// How many polls were sent for it.
    polls: u32,
    /// When the next poll is due.
    next_poll: Duration,
}

/// What a poll's response says of a candidate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    /// Its incarnation has replaced the present one.
    Replaces,
    /// It is a report of the present incarnation, and not ahead of its clock.
    Updates,
    /// It is false or late, for this reason.
    Refuted(&'static str),
}

impl Candidate {
    const fn new(worker: Worker, now: Duration) -> Self {
        Self {
            worker,
            since: now,
            polls: 0,
            next_poll: now,
        }
    }

    /// Judges the candidate by a response, given the upstream's present incarnation. `None` if the
    /// response decides nothing, as that to a poll that was sent before the report arrived.
    fn judge(&self, snapshot: &Snapshot, present: &Incarnation) -> Option<Verdict> {
        if snapshot.asked < self.since {
            return None;
        }
        let own = self.worker.incarnation();
        let is_own = if own.id == present.id {
            own.started_at.is_some() && own.started_at == snapshot.incarnation.started_at
        } else {
            !own.differs_from(&snapshot.incarnation)
        };
        let is_update = !present.differs_from(&own);
        if is_own && !is_update {
            return Some(Verdict::Replaces);
        }
        if present.differs_from(&snapshot.incarnation) {
            return None;
        }
        // The clock was read after the report had arrived.
        let is_ahead = self.worker.clock > snapshot.clock;
        Some(match (is_update, is_ahead) {
            (true, false) => Verdict::Updates,
            (true, true) => Verdict::Refuted("ahead of the upstream's clock"),
            (false, _) => Verdict::Refuted("the present upstream answers"),
        })
    }

    fn decision(&self, verdict: Verdict, now: Duration) -> Decision {
        let (kind, reason) = match verdict {
            Verdict::Replaces => ("report proven", "an answer"),
            Verdict::Updates => ("report proven", "the clock of the present upstream"),
            Verdict::Refuted(reason) => ("report ignored", reason),
        };
        Decision::new(kind, "", "")
            .with("upstream", self.worker.incarnation())
            .with("reason", reason)
            .with("held_ms", now.saturating_sub(self.since).as_millis())
            .with("polls", self.polls)
    }
}

impl Host {
    /// Keeps a report until a poll has proved or refuted it.
    pub(super) fn hold_report(&mut self, worker: Worker, now: Duration, actions: &mut Vec<Action>) {
        let incarnation = worker.incarnation();
        let held = self.candidate.as_mut();
        match held.filter(|held| held.worker.incarnation() == incarnation) {
            Some(held) => {
                held.worker = worker;
                held.since = now;
            }
            None => {
                let present = self.worker.as_ref().map(Worker::incarnation);
                let decision = Decision::new("report held", "", "")
                    .with("upstream", &incarnation)
                    .with("present", present.unwrap_or_default())
                    .with("clock", worker.clock)
                    .with("known_clock", self.lease.estimate(now))
                    .with("tasks", self.runs.len());
                actions.push(Action::Log(decision));
                self.candidate = Some(Candidate::new(worker, now));
            }
        }
        self.verify_candidate(now, actions);
    }

    /// Requests the next poll of the candidate, if it is due.
    pub(super) fn verify_candidate(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(candidate) = self.candidate.as_mut() else {
            return;
        };
        if now < candidate.next_poll {
            return;
        }
        candidate.polls += 1;
        candidate.next_poll = now + poll_backoff(candidate.polls);
        actions.push(Action::Verify(candidate.worker.incarnation()));
    }

    /// When the next poll of the candidate is due.
    pub(super) fn next_verification(&self) -> Option<Duration> {
        self.candidate.as_ref().map(|candidate| candidate.next_poll)
    }

    /// Decides on the candidate by a response to a poll. Returns whether the candidate has become
    /// the present incarnation under the id of the former one, which may still have orders in
    /// flight: then only a poll with the new fence tells what runs.
    pub(super) fn settle_candidate(
        &mut self,
        snapshot: &Snapshot,
        now: Duration,
        actions: &mut Vec<Action>,
    ) -> bool {
        let present = self.worker.as_ref().map(Worker::incarnation);
        let present = present.unwrap_or_default();
        let held = self.candidate.as_ref();
        let Some(verdict) = held.and_then(|held| held.judge(snapshot, &present)) else {
            return false;
        };
        let Some(candidate) = self.candidate.take() else {
            return false;
        };
        actions.push(Action::Log(candidate.decision(verdict, now)));
        match verdict {
            Verdict::Replaces => {
                let worker = Worker {
                    started_at: candidate
                        .worker
                        .started_at
                        .or(snapshot.incarnation.started_at),
                    ..candidate.worker
                };
                let keeps_id = worker.id == present.id;
                self.begin_incarnation(worker, "a new upstream", now, actions);
                keeps_id
            }
            Verdict::Updates => {
                self.lease.record_clock(Some(snapshot.clock), now);
                actions.extend(self.handle_report(candidate.worker, now));
                false
            }
            Verdict::Refuted(_) => false,
        }
    }

    /// Handles the rejection of a poll that named this incarnation: it is not at the upstream's
    /// address.
    pub(super) fn reject_candidate(
        &mut self,
        incarnation: &Incarnation,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_candidate(incarnation) {
            return;
        }
        if let Some(candidate) = self.candidate.take() {
            let verdict = Verdict::Refuted("another upstream answers");
            actions.push(Action::Log(candidate.decision(verdict, now)));
        }
    }

    /// Whether `incarnation` is the one whose report is held.
    pub(super) fn is_candidate(&self, incarnation: &Incarnation) -> bool {
        let candidate = self.candidate.as_ref();
        candidate.is_some_and(|candidate| candidate.worker.incarnation() == *incarnation)
    }
}
