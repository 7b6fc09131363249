//! Decides which reports are believed.

use super::incarnations::ignored_report;
use super::lease::Lease;
use super::notice::Notices;
use super::worker::Worker;
use super::{Action, Host};
use crate::Decision;
use std::time::Duration;

/// A report's clock may be this many milliseconds ahead of the estimate, which lags behind the
/// upstream by the time that its last response took.
const CLOCK_TOLERANCE_MS: u64 = 100;

/// How a report relates to the known incarnation.
enum ReportKind {
    /// It is about the known incarnation.
    Same,
    /// It is about the known incarnation and contradicts what that one has said of itself.
    Contradicting,
    /// It is obsolete, for this reason.
    Outdated(&'static str),
    /// It is about an unknown incarnation, or from a time that the known one has not reached. A poll
    /// decides whether it is true, or was delayed or sent by another.
    Unverified,
    /// It is about an unknown incarnation while none is known to be alive.
    New,
}

impl Host {
    /// Handles a report of the upstream. A report of an incarnation that another one has followed
    /// was delayed by the network and is ignored.
    pub fn handle_report(&mut self, worker: Worker, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        match self.classify(&worker, now) {
            ReportKind::Same => self.update(worker, now, &mut actions),
            ReportKind::Contradicting => self.question(worker, now, &mut actions),
            ReportKind::Outdated(reason) => {
                actions.push(ignored_report(&worker.incarnation(), reason))
            }
            ReportKind::Unverified => self.hold_report(worker, now, &mut actions),
            ReportKind::New => self.begin_incarnation(worker, "a new upstream", now, &mut actions),
        }
        actions
    }

    fn classify(&self, worker: &Worker, now: Duration) -> ReportKind {
        let Some(known) = &self.worker else {
            return ReportKind::New;
        };
        let (incarnation, present) = (worker.incarnation(), known.incarnation());
        if !present.differs_from(&incarnation) {
            return self.classify_of_present(known, worker, now);
        }
        // No other incarnation is known to be alive. If this report was delayed, no order will be
        // answered.
        if known.is_gone {
            return ReportKind::New;
        }
        if known.previous_incarnations.contains(&incarnation) {
            return ReportKind::Outdated("an earlier life");
        }
        ReportKind::Unverified
    }

    /// Reports are ordered by the upstream's clock, which polls read too. A sequence number that
    /// another sender made up would count until the upstream's own numbers reach it.
    fn classify_of_present(&self, known: &Worker, worker: &Worker, now: Duration) -> ReportKind {
        if worker.clock > self.lease.estimate(now).saturating_add(CLOCK_TOLERANCE_MS) {
            return ReportKind::Unverified;
        }
        if known.is_unreported {
            return ReportKind::Same;
        }
        if (worker.clock, worker.sequence) < (known.clock, known.sequence) {
            return ReportKind::Outdated("an earlier report");
        }
        if worker.contradicts(known) {
            return ReportKind::Contradicting;
        }
        ReportKind::Same
    }

    pub(super) fn update(&mut self, worker: Worker, now: Duration, actions: &mut Vec<Action>) {
        self.questioned = None;
        let before = (self.upstream(), self.notices);
        self.notices = before.1.after(&worker, now);
        self.worker = match self.worker.take() {
            Some(known) => Some(worker.with_history_of(known)),
            None => Some(worker),
        };
        if self.upstream() != before.0 || self.notices.is_news_after(before.1, now) {
            self.announce_upstream_at(now, actions, "the upstream changed");
            self.send_heartbeat_to_all(now, actions);
        }
    }

    /// Takes a report that contradicts the known ones only if the one before it agreed with it: no
    /// single report of another sender counts, and if the known ones were false, the upstream's own
    /// prevail.
    fn question(&mut self, worker: Worker, now: Duration, actions: &mut Vec<Action>) {
        let before = self.questioned.take();
        if before.is_some_and(|before| !worker.contradicts(&before)) {
            self.update(worker, now, actions);
            return;
        }
        let known = self.worker.as_ref();
        let decision = Decision::new("report questioned", "", "")
            .with("upstream", worker.incarnation())
            .with("service", &worker.service)
            .with("labels", format_args!("{:?}", worker.labels))
            .with("sequence", worker.sequence)
            .with("known_service", known.map_or("", |known| &known.service));
        actions.push(Action::Log(decision));
        self.questioned = Some(worker);
    }

    /// Checks the report by which the present incarnation became known against the clock of its
    /// first answer. One that is ahead of it came from another sender.
    pub(super) fn check_first_report(
        &mut self,
        clock: u64,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let reported = self.first_clock.take();
        let Some(worker) = self.worker.as_mut().filter(|_| reported > Some(clock)) else {
            return;
        };
        worker.is_unreported = true;
        worker.clock = clock;
        let incarnation = worker.incarnation();
        self.lease = Lease::new(clock, now);
        self.notices = Notices::default();
        actions.push(ignored_report(
            &incarnation,
            "ahead of the upstream's clock",
        ));
        self.announce_upstream(actions, "its report was false");
    }
}
