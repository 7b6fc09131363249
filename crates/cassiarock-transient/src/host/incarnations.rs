//! Lives of the upstream: of which one a report or an answer tells.

use super::health::Health;
use super::lease::Lease;
use super::run::{Run, Snapshot, Task};
use super::worker::Worker;
use super::{Action, Host};
use crate::message::Outcome;
use crate::{Decision, Incarnation};
use std::time::Duration;

/// What a fence rises by that the upstream has turned away as too low, in milliseconds: an hour, as
/// fences are times, and twice as much each further time.
const FENCE_STEP: u64 = 3_600_000;

/// What a report says of the upstream's life.
enum ReportKind {
    /// The known one goes on.
    Same,
    /// Nothing that counts any more.
    Outdated(&'static str),
    /// A life that started before the known one, though it has not been heard of: held up on its
    /// way, or the upstream's clock was set back. An answer of the upstream tells.
    Doubtful,
    /// Another one has begun.
    New,
}

impl Host {
    /// The upstream reports. A report of a life that has been followed by another is old news
    /// that a broken network had held up.
    pub fn handle_report(&mut self, worker: Worker, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        match self.classify(&worker) {
            ReportKind::Same => self.update(worker, now, &mut actions),
            ReportKind::Outdated(reason) => {
                actions.push(ignored_report(&worker.incarnation(), reason))
            }
            ReportKind::Doubtful => {
                actions.push(ignored_report(&worker.incarnation(), "an earlier start"));
                actions.push(Action::Poll);
            }
            ReportKind::New => self.begin_incarnation(worker, "a new upstream", now, &mut actions),
        }
        actions
    }

    fn classify(&self, worker: &Worker) -> ReportKind {
        let Some(known) = &self.worker else {
            return ReportKind::New;
        };
        let (incarnation, present) = (worker.incarnation(), known.incarnation());
        if !present.differs_from(&incarnation) {
            let is_older = worker.sequence < known.sequence;
            return if is_older {
                ReportKind::Outdated("an earlier report")
            } else {
                ReportKind::Same
            };
        }
        // Nothing else is there: if the report was held up, no order will be answered.
        if known.is_gone {
            return ReportKind::New;
        }
        if known.previous_incarnations.contains(&incarnation) {
            return ReportKind::Outdated("an earlier life");
        }
        if incarnation.started_before(&present) {
            return ReportKind::Doubtful;
        }
        ReportKind::New
    }

    fn update(&mut self, worker: Worker, now: Duration, actions: &mut Vec<Action>) {
        let before = self.upstream();
        self.worker = match self.worker.take() {
            Some(known) => Some(worker.with_history_of(known)),
            None => Some(worker),
        };
        if self.upstream() != before {
            self.announce_upstream(actions, "the upstream changed");
            self.send_heartbeat_to_all(now, actions);
        }
    }

    /// A life begins. What ran in the one before has ended, but for orders on their way: under
    /// the same id the new life takes them too.
    fn begin_incarnation(
        &mut self,
        worker: Worker,
        reason: &'static str,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let known = self.worker.take();
        let keeps_id = known.as_ref().is_some_and(|known| known.id == worker.id);
        let in_flight = if keeps_id {
            self.runs.take_unanswered()
        } else {
            Vec::new()
        };
        self.lose_all(Outcome::Crashed, "the upstream restarted", now, actions);
        self.lease = Lease::new(worker.clock, now);
        if let Some(started_at) = worker.started_at {
            self.fence = started_at.max(self.fence + 1);
        }
        let mut previous_incarnations =
            known.as_ref().map(Worker::incarnations).unwrap_or_default();
        previous_incarnations.retain(|incarnation| *incarnation != worker.incarnation());
        self.worker = Some(worker.with_previous_incarnations(previous_incarnations));
        self.incarnation_known_since = now;
        self.last_seen_end = 0;
        self.is_reconciled = false;
        self.health = Health::default();
        self.offer = None;
        for (task, run) in in_flight {
            self.keep_in_flight(task, run, now, actions);
        }
        self.announce_upstream(actions, reason);
    }

    /// An order that may yet reach a new life of the upstream is stopped there. It is over once
    /// an answer to a poll that carried the new fence does not list it.
    fn keep_in_flight(&mut self, task: Task, run: Run, now: Duration, actions: &mut Vec<Action>) {
        self.runs.add(task.clone(), run.into_in_flight(now));
        actions.push(Action::Stop(task));
    }

    /// Whether an answer to a poll is of the present life. An answer that names another one shows
    /// that the upstream has started again under its id, unless the poll went out before the
    /// present life was known.
    pub(super) fn accept_snapshot(
        &mut self,
        snapshot: &Snapshot,
        now: Duration,
        actions: &mut Vec<Action>,
    ) -> bool {
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
            is_unreported: true,
            ..known.clone()
        };
        self.begin_incarnation(worker, "it started again under its id", now, actions);
        actions.push(Action::Poll);
        false
    }

    fn learn_start_time(&mut self, started_at: Option<u64>) {
        let (Some(worker), Some(started_at)) = (&mut self.worker, started_at) else {
            return;
        };
        worker.started_at = Some(started_at);
        self.fence = self.fence.max(started_at);
    }

    /// Whether an answer to an order of `life` is of the present life.
    pub(super) fn is_current(&self, incarnation: &Incarnation) -> bool {
        let worker = self.worker.as_ref();
        worker.is_some_and(|worker| !worker.incarnation().differs_from(incarnation))
    }

    /// The upstream says that it has ended. One that tells when it started may have started
    /// again since: that one has not, unless it was leaving.
    pub fn deregister(&mut self, id: &str, now: Duration) -> Vec<Action> {
        let known = self.worker.as_ref().filter(|worker| &*worker.id == id);
        match known {
            Some(worker) if worker.started_at.is_some() && !worker.is_leaving => {
                vec![ignored_report(
                    &worker.incarnation(),
                    "an end without notice",
                )]
            }
            Some(worker) => {
                let incarnation = worker.incarnation();
                self.lose_upstream(&incarnation, Outcome::Lost, "the upstream ended", now)
            }
            None => Vec::new(),
        }
    }

    /// Another life answers at the upstream's address.
    pub fn handle_replacement(&mut self, incarnation: &Incarnation, now: Duration) -> Vec<Action> {
        self.lose_upstream(
            incarnation,
            Outcome::Crashed,
            "another life of the upstream answers",
            now,
        )
    }

    /// The upstream is gone.
    fn lose_upstream(
        &mut self,
        incarnation: &Incarnation,
        end: Outcome,
        reason: &'static str,
        now: Duration,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.is_current(incarnation) {
            return actions;
        }
        self.lose_all(end, reason, now, &mut actions);
        if let Some(worker) = &mut self.worker {
            worker.is_gone = true;
        }
        self.is_reconciled = false;
        self.announce_upstream(&mut actions, reason);
        actions
    }

    /// What orders to the upstream carry, so that it does nothing that was ordered from a life of
    /// it before the present one; 0 if it does not tell when it started.
    #[must_use]
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// The upstream turned away the fence: it has seen a higher one, from an agent that knew a
    /// life of it with a later start.
    pub fn raise_fence(&mut self, incarnation: &Incarnation) -> Vec<Action> {
        if !self.is_current(incarnation) {
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

fn ignored_report(incarnation: &Incarnation, reason: &'static str) -> Action {
    Action::Log(
        Decision::new("report ignored", "", "")
            .with("upstream", incarnation)
            .with("reason", reason),
    )
}
