//! Tracks incarnations of the upstream: matches responses to them.

use super::health::Health;
use super::lease::Lease;
use super::notice::Notices;
use super::run::Snapshot;
use super::strays::Strays;
use super::worker::Worker;
use super::{Action, Host};
use crate::message::Outcome;
use crate::{Decision, Incarnation};
use std::time::Duration;

/// The amount in milliseconds by which a fence is raised that the upstream rejected as too low: one
/// hour, as fences are start times. It doubles with each further rejection.
const FENCE_STEP: u64 = 3_600_000;

impl Host {
    /// Starts a new incarnation. What polls had listed ran in the previous one and has ended. Of the
    /// rest, one with the same id may have carried out the orders.
    pub(super) fn begin_incarnation(
        &mut self,
        worker: Worker,
        reason: &'static str,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let outcome = self.outcome_of_loss();
        let known = self.worker.take();
        let keeps_id = known.as_ref().is_some_and(|known| known.id == worker.id);
        let in_flight = if keeps_id {
            self.runs.take_unlisted()
        } else {
            Vec::new()
        };
        self.lose_all(outcome, "the upstream restarted", now, actions);
        self.first_clock = Some(worker.clock);
        self.lease = Lease::new(worker.clock, now);
        self.notices = Notices::of(&worker, now);
        if let Some(started_at) = worker.started_at {
            self.fence = started_at.max(self.fence.saturating_add(1));
        }
        let mut previous_incarnations =
            known.as_ref().map(Worker::incarnations).unwrap_or_default();
        previous_incarnations.retain(|incarnation| *incarnation != worker.incarnation());
        self.worker = Some(worker.with_previous_incarnations(previous_incarnations));
        self.incarnation_known_since = now;
        self.questioned = None;
        self.last_seen_end = 0;
        self.is_reconciled = false;
        self.strays = Strays::default();
        self.health = Health::default();
        self.offer = None;
        // The new incarnation may have these, or get them yet. Each ends once a response to a poll that
        // carried the new fence does not list it.
        if !in_flight.is_empty() {
            self.lease.record_foreign_lease(self.lease.estimate(now));
        }
        for (task, run) in in_flight {
            self.runs
                .add(task.clone(), run.into_in_flight(outcome, now));
            actions.push(Action::Stop(task));
        }
        self.announce_upstream_at(now, actions, reason);
        // Nothing starts before a poll has shown that nothing runs, and regular polls wait for an end.
        actions.push(Action::Poll);
    }

    /// Whether the response to a poll is from the current incarnation. A response that names
    /// another one shows that the upstream has restarted under its id, unless the poll was sent
    /// before the current incarnation was known.
    pub(super) fn accept_snapshot(
        &mut self,
        snapshot: &Snapshot,
        now: Duration,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.settle_candidate(snapshot, now, actions) {
            return false;
        }
        let Some(known) = self.worker.as_ref().filter(|known| !known.is_gone) else {
            return false;
        };
        if !known.incarnation().differs_from(&snapshot.incarnation) {
            self.learn_start_time(snapshot.incarnation.started_at);
            return true;
        }
        if known.id != snapshot.incarnation.id || snapshot.asked < self.incarnation_known_since {
            actions.push(ignored_report(
                &snapshot.incarnation,
                "an answer of another life",
            ));
            return false;
        }
        let worker = Worker {
            started_at: snapshot.incarnation.started_at,
            clock: snapshot.clock,
            sequence: 0,
            is_leaving: false,
            remaining: None,
            cold_remaining: None,
            is_unreported: true,
            is_deregistered: false,
            ..known.clone()
        };
        self.begin_incarnation(worker, "it started again under its id", now, actions);
        false
    }

    fn learn_start_time(&mut self, started_at: Option<u64>) {
        let (Some(worker), Some(started_at)) = (&mut self.worker, started_at) else {
            return;
        };
        worker.started_at = Some(started_at);
        self.fence = self.fence.max(started_at);
    }

    /// Whether `incarnation` is the current one.
    pub(super) fn is_current(&self, incarnation: &Incarnation) -> bool {
        let worker = self.worker.as_ref();
        worker.is_some_and(|worker| !worker.incarnation().differs_from(incarnation))
    }

    /// Handles the deregistration of the upstream, which anyone may have sent: a poll tells whether
    /// the upstream has ended. From one that reports its start time the message may be about the
    /// previous incarnation, so it counts only if the upstream was leaving.
    pub fn deregister(&mut self, id: &str) -> Vec<Action> {
        let known = self.worker.as_mut().filter(|worker| &*worker.id == id);
        let Some(worker) = known.filter(|worker| !worker.is_gone) else {
            return Vec::new();
        };
        let incarnation = worker.incarnation();
        if worker.started_at.is_some() && !worker.is_leaving {
            return vec![ignored_report(&incarnation, "an end without notice")];
        }
        worker.is_deregistered = true;
        let decision = Decision::new("deregistered", "", "")
            .with("upstream", incarnation)
            .with("tasks", self.runs.len());
        vec![Action::Log(decision), Action::Poll]
    }

    /// Handles a poll of this incarnation for which no connection could be opened. By itself that may
    /// be a cut; of an upstream that has deregistered it shows that it has ended.
    pub fn handle_refused_connection(
        &mut self,
        incarnation: &Incarnation,
        now: Duration,
    ) -> Vec<Action> {
        let worker = self.worker.as_ref();
        if !worker.is_some_and(|worker| worker.is_deregistered) {
            return Vec::new();
        }
        self.lose_upstream(incarnation, "the upstream ended", now)
    }

    /// How the attempts end when the present incarnation is gone: if it had deregistered, no task
    /// has crashed it.
    pub(super) fn outcome_of_loss(&self) -> Outcome {
        let worker = self.worker.as_ref();
        if worker.is_some_and(|worker| worker.is_deregistered) {
            Outcome::Lost
        } else {
            Outcome::Crashed
        }
    }

    /// Handles a response of another incarnation at the upstream's address.
    pub fn handle_replacement(&mut self, incarnation: &Incarnation, now: Duration) -> Vec<Action> {
        let mut actions =
            self.lose_upstream(incarnation, "another life of the upstream answers", now);
        self.reject_candidate(incarnation, now, &mut actions);
        actions
    }

    /// Marks this incarnation of the upstream as gone and ends all attempts on it.
    fn lose_upstream(
        &mut self,
        incarnation: &Incarnation,
        reason: &'static str,
        now: Duration,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.is_current(incarnation) {
            return actions;
        }
        let outcome = self.outcome_of_loss();
        // First, so that the results name no room of an upstream that is gone.
        if let Some(worker) = &mut self.worker {
            worker.is_gone = true;
        }
        self.lose_all(outcome, reason, now, &mut actions);
        self.is_reconciled = false;
        self.strays = Strays::default();
        self.announce_upstream(&mut actions, reason);
        actions
    }

    /// The fencing token that orders carry, so that the upstream does nothing that was ordered from
    /// an earlier incarnation of it; 0 if it does not report when it started.
    #[must_use]
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// Raises the fence after the upstream rejected it: the upstream has seen a higher one, from an
    /// agent that knew an incarnation of it with a later start time.
    pub fn raise_fence(&mut self, incarnation: &Incarnation) -> Vec<Action> {
        if !self.is_current(incarnation) && !self.is_candidate(incarnation) {
            return Vec::new();
        }
        let step = self.fence_step.max(FENCE_STEP);
        self.fence = self.fence.saturating_add(step);
        self.fence_step = step.saturating_mul(2);
        let decision = Decision::new("fence raised", "", "")
            .with("upstream", incarnation)
            .with("fence", self.fence);
        vec![Action::Log(decision.failed())]
    }
}

pub(super) fn ignored_report(incarnation: &Incarnation, reason: &'static str) -> Action {
    Action::Log(
        Decision::new("report ignored", "", "")
            .with("upstream", incarnation)
            .with("reason", reason),
    )
}
