//! Reports under the id of the upstream that are not from it, or late.

use crate::harness::{Harness, ms};
use cassiarock_transient::host::Worker;
use cassiarock_transient::message::Outcome;
use cassiarock_transient::{Incarnation, Resources};

impl Harness {
    /// A report like the last one of the upstream, with its clock now and these changes.
    fn report_changed(&mut self, change: impl FnOnce(&mut Worker)) {
        let mut worker = Worker {
            clock: self.clock(),
            ..self.host.worker().cloned().unwrap()
        };
        worker.sequence += 1;
        change(&mut worker);
        let actions = self.host.handle_report(worker, self.now);
        self.apply(actions);
    }

    fn service(&self) -> &str {
        self.host.worker().map_or("", |worker| &worker.service)
    }

    fn is_leaving(&self) -> bool {
        let worker = self.host.worker();
        worker.is_some_and(|worker| worker.is_leaving)
    }

    fn cpu(&self) -> u64 {
        self.host.worker().map_or(0, |worker| worker.capacity.cpu)
    }
}

// A report of another sender had a sequence number far ahead. The upstream's own reports then
// counted as older ones until they had passed it.
#[test]
fn a_sequence_number_far_ahead_excludes_no_later_report() {
    let mut harness = Harness::new();
    harness.report_changed(|worker| worker.sequence = 9_000);
    harness.advance(100);
    harness.report_changed(|worker| {
        worker.sequence = 2;
        worker.capacity = Resources::new(3_000, 1_000, 0);
    });
    assert_eq!(harness.cpu(), 3_000);
}

// One report that named another service closed an upstream until its next report.
#[test]
fn one_report_of_another_service_changes_nothing() {
    let mut harness = Harness::new();
    harness.advance(100);
    harness.report_changed(|worker| worker.service = "other".into());
    assert_eq!(harness.service(), "s");
    harness.advance(100);
    harness.report_changed(|worker| worker.labels = vec!["r9-9".into()]);
    harness.order(1, "j", 1);
    assert_eq!(harness.starts.len(), 1);
}

// The first report of an upstream was another sender's, and its own ones contradicted it for good.
#[test]
fn a_contradiction_that_is_repeated_prevails() {
    let mut harness = Harness::new();
    harness.advance(100);
    harness.report_changed(|worker| worker.service = "other".into());
    harness.advance(100);
    harness.report_changed(|worker| worker.service = "other".into());
    assert_eq!(harness.service(), "other");
}

// Two reports of other senders between two of the upstream's own.
#[test]
fn contradictions_that_differ_change_nothing() {
    let mut harness = Harness::new();
    harness.advance(100);
    harness.report_changed(|worker| worker.service = "other".into());
    harness.report_changed(|worker| worker.service = "third".into());
    assert_eq!(harness.service(), "s");
}

// Another sender's report came with a clock of its own.
#[test]
fn a_report_ahead_of_the_upstreams_clock_changes_nothing() {
    let mut harness = Harness::new();
    harness.advance(100);
    let polls = harness.polls;
    harness.report_changed(|worker| {
        worker.clock += 60_000;
        worker.capacity = Resources::default();
    });
    assert_eq!(harness.cpu(), 10_000);
    assert_eq!(harness.polls, polls + 1, "its clock is read once more");
    harness.advance(500);
    harness.report_changed(|worker| worker.is_leaving = true);
    assert!(harness.is_leaving());
}

// An agent woke up late: what it estimated of the clock was behind the upstream's own report, which
// said that it leaves.
#[test]
fn a_report_that_an_estimate_is_behind_of_counts_once_the_clock_is_read() {
    let mut harness = Harness::new();
    harness.clock_offset_ms += 2_000;
    harness.report_changed(|worker| worker.is_leaving = true);
    assert!(harness.is_leaving());
    harness.order(1, "j", 1);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Closed));
}

// The first report that an agent received was another sender's, under the id of its upstream. Leases
// were reckoned by its clock, and the upstream's own reports counted as older ones.
#[test]
fn a_first_report_ahead_of_the_upstreams_clock_is_withdrawn_by_its_first_answer() {
    let mut harness = Harness::new();
    harness.host = cassiarock_transient::Host::new();
    harness.clock_offset_ms = 60_000_000;
    let present = Incarnation::new("u-1");
    harness.report_falsely(&present, 4);
    harness.clock_offset_ms = 1_000;
    assert_eq!(harness.host.renew_leases(harness.now), None);
    harness.observe(&[], &[]);
    harness.link(1);
    harness.order(1, "j", 1);
    assert_eq!(
        harness.outcome_of(1),
        Some(Outcome::Closed),
        "its room is not known"
    );
    harness.now += ms(10);
    harness.report_falsely(&present, 2);
    harness.order(1, "k", 2);
    assert_eq!(harness.starts.len(), 1);
    assert!(harness.starts[0].1 < 60_000);
}
