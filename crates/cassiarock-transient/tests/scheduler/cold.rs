//! Upstreams that are slow after their start.

use crate::harness::{CAPACITY, Harness, agent, ms};
use cassiarock_transient::message::{Outcome, Upstream};
use cassiarock_transient::{Message, Resources};

impl Harness {
    /// An entry with three agents of which only the first has room; its upstream is cold for so
    /// long.
    fn with_cold_upstream(left: u64) -> Self {
        let mut harness = Self::new(3);
        let upstream = Upstream {
            id: "u-agent-0".into(),
            service: "s".into(),
            capacity: CAPACITY,
            cold_remaining: Some(ms(left)),
            ..Upstream::default()
        };
        harness.deliver(&agent(0), Message::Upstream(Some(upstream)));
        harness.pass(0, 100);
        harness
    }

    /// Passes time while only the first agent has room, and reports this pace.
    fn pass(&mut self, millis: u64, pace: u16) {
        for step in 0..=millis / 10 {
            self.now += if step == 0 { ms(0) } else { ms(10) };
            self.heartbeat_of(&agent(1), Resources::default());
            self.heartbeat_of(&agent(2), Resources::default());
            self.heartbeat_paced(&agent(0), pace);
            self.poll();
        }
    }
}

#[test]
fn a_cold_upstream_gets_no_task_that_would_be_late_there_until_it_is_warm() {
    let mut harness = Harness::with_cold_upstream(1_000);
    harness.pass(100, 170);
    harness.submit(1, 1, 1_000, 5_000);
    harness.pass(100, 170);
    assert!(harness.placed.is_empty());
    harness.pass(1_000, 170);
    harness.submit(2, 1, 1_000, 5_000);
    let placed = harness
        .placed
        .iter()
        .filter(|task| task.attempt.number == 2);
    assert_eq!(placed.count(), 1);
}

#[test]
fn the_share_of_a_cold_upstream_grows_as_it_warms() {
    let mut harness = Harness::with_cold_upstream(1_000);
    harness.submit(1, 10, 600, 5_000);
    assert_eq!(harness.placed.len(), 1);
    harness.pass(300, 100);
    assert_eq!(harness.placed.len(), 3);
}

#[test]
fn a_new_life_that_is_not_cold_takes_all_that_fits() {
    let mut harness = Harness::with_cold_upstream(1_000);
    harness.announce(&agent(0), "u-next", false);
    harness.submit(1, 10, 600, 5_000);
    assert_eq!(harness.placed.len(), 10);
}

#[test]
fn an_upstream_that_was_told_to_be_warm_early_takes_all_that_fits() {
    let mut harness = Harness::with_cold_upstream(1_000);
    let upstream = Upstream {
        id: "u-agent-0".into(),
        service: "s".into(),
        capacity: CAPACITY,
        cold_remaining: Some(ms(0)),
        ..Upstream::default()
    };
    harness.deliver(&agent(0), Message::Upstream(Some(upstream)));
    harness.submit(1, 10, 600, 5_000);
    assert_eq!(harness.placed.len(), 10);
}

#[test]
fn the_next_cold_upstream_is_taken_to_be_as_slow_as_the_last_one() {
    let mut harness = Harness::with_cold_upstream(5_000);
    harness.submit(1, 1, 200, 5_000);
    let first = harness.placed[0].attempt;
    harness.pass(800, 100);
    harness.end(first, Outcome::Done);
    harness.pass(20, 100);
    harness.submit(2, 1, 200, 5_000);
    harness.pass(20, 100);
    assert!(harness.placed.is_empty());
}
