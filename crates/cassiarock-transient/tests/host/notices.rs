//! What the agent tells entries of the time that its upstream announces.

use crate::harness::{Harness, entry, ms};
use cassiarock_transient::Message;
use cassiarock_transient::host::{Action, Snapshot, StartResponse, Worker};
use cassiarock_transient::message::{Outcome, Upstream};
use std::time::Duration;

impl Harness {
    /// The upstream reports and answers polls; returns what entry 1 is told of it.
    fn report_worker(&mut self, worker: Worker) -> Vec<Upstream> {
        let incarnation = worker.incarnation();
        let mut actions = self.host.handle_report(worker, self.now);
        if actions.contains(&Action::Verify(incarnation.clone())) {
            let snapshot = Snapshot {
                incarnation,
                clock: self.clock(),
                asked: self.now,
                ..Snapshot::default()
            };
            actions.extend(self.host.handle_snapshot(&snapshot, self.now));
        }
        let told = actions.into_iter().filter_map(|action| match action {
            Action::Send(to, Message::Upstream(upstream)) if to == entry(1) => upstream,
            _ => None,
        });
        told.collect()
    }

    /// A report of the known upstream that it ends after `left`.
    fn leaving(&self, sequence: u64, left: Option<Duration>) -> Worker {
        Worker {
            is_leaving: true,
            remaining: left,
            sequence,
            ..self.host.worker().cloned().unwrap()
        }
    }
}

#[test]
fn the_time_left_is_told_once_and_again_when_it_is_shortened() {
    let mut harness = Harness::new();
    let told = harness.report_worker(harness.leaving(2, Some(ms(2_000))));
    assert_eq!(told[0].remaining, Some(ms(2_000)));
    harness.now += ms(500);
    let repeated = harness.leaving(3, Some(ms(1_495)));
    assert!(harness.report_worker(repeated).is_empty());
    let shortened = harness.leaving(4, Some(ms(300)));
    assert_eq!(harness.report_worker(shortened)[0].remaining, Some(ms(300)));
}

#[test]
fn a_report_without_the_time_withdraws_nothing() {
    let mut harness = Harness::new();
    harness.report_worker(harness.leaving(2, Some(ms(2_000))));
    assert!(harness.report_worker(harness.leaving(3, None)).is_empty());
}

#[test]
fn an_entry_that_links_later_is_told_what_is_left_then() {
    let mut harness = Harness::new();
    harness.report_worker(harness.leaving(2, Some(ms(2_000))));
    harness.now += ms(500);
    let actions = harness.host.link(&entry(2), harness.now);
    let told = actions.iter().find_map(|action| match action {
        Action::Send(_, Message::Upstream(upstream)) => upstream.clone(),
        _ => None,
    });
    assert_eq!(told.unwrap().remaining, Some(ms(1_500)));
}

#[test]
fn a_new_life_withdraws_the_time_and_a_late_report_of_the_former_one_does_not_restore_it() {
    let mut harness = Harness::new();
    let late = harness.leaving(3, Some(ms(1_900)));
    harness.report_worker(harness.leaving(2, Some(ms(2_000))));
    harness.now += ms(500);
    let next = Worker {
        id: "u-2".into(),
        is_leaving: false,
        remaining: None,
        sequence: 1,
        ..late.clone()
    };
    let told = harness.report_worker(next);
    assert_eq!((told[0].remaining, told[0].is_leaving), (None, false));
    assert!(harness.report_worker(late).is_empty());
}

#[test]
fn the_longest_time_is_harmless() {
    let mut harness = Harness::new();
    let told = harness.report_worker(harness.leaving(2, Some(Duration::MAX)));
    assert_eq!(told[0].remaining, Some(Duration::from_secs(86_400)));
}

#[test]
fn the_slowness_of_a_cold_upstream_shows_with_its_first_task_and_is_forgotten_when_it_is_warm() {
    let mut harness = Harness::new();
    let cold = Worker {
        cold_remaining: Some(ms(1_000)),
        sequence: 2,
        ..harness.host.worker().cloned().unwrap()
    };
    let told = harness.report_worker(cold);
    assert_eq!(told[0].cold_remaining, Some(ms(1_000)));
    harness.order(1, "job", 1);
    let task = harness.starts[0].0.clone();
    harness.respond_to_start(&task, StartResponse::Started);
    harness.now += ms(400);
    let actions = harness.end_in_poll(1, "job", 1, Outcome::Done);
    harness.apply(actions);
    assert_eq!(harness.load.slowdown_percent, 400);
    harness.advance(800);
    assert_eq!(harness.load.slowdown_percent, 100);
}

#[test]
fn an_upstream_that_was_never_cold_is_not_described_as_such() {
    let mut harness = Harness::new();
    let warm = Worker {
        cold_remaining: Some(ms(0)),
        sequence: 2,
        ..harness.host.worker().cloned().unwrap()
    };
    assert!(harness.report_worker(warm).is_empty());
}
