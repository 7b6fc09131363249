//! Capacity that shrinks and grows while tasks run.

use crate::harness::{Harness, ms};
use cassiarock_transient::message::Outcome;

/// An agent with this many tasks of one core each, of the ten that fit.
fn with_tasks(count: u32) -> Harness {
    let mut harness = Harness::new();
    for attempt in 1..=count {
        harness.order(1, &format!("j-{attempt}"), attempt);
    }
    assert_eq!(harness.starts.len(), count as usize);
    harness
}

// An upstream's capacity shrank below what its running tasks took. A new task was started as soon
// as one had ended, although the others still exceeded the capacity.
#[test]
fn nothing_starts_until_running_tasks_fit_the_reduced_capacity() {
    let mut harness = with_tasks(8);
    harness.resize(4_000);
    assert_eq!(harness.load.free.cpu, 0);
    for ended in 1..=4 {
        let job = format!("j-{ended}");
        harness.observe(&[], &[(u64::from(ended), &job, ended, Outcome::Done)]);
        harness.order(1, "k", 20 + ended);
        assert_eq!(
            harness.outcome_of(20 + ended),
            Some(Outcome::Full),
            "after {ended} ends"
        );
    }
    assert!(harness.stops.is_empty(), "what runs goes on");
    harness.observe(&[], &[(5, "j-5", 5, Outcome::Done)]);
    harness.order(1, "l", 30);
    assert_eq!(harness.starts.len(), 9);
}

// Entries kept placing tasks by the old capacity for up to 100 ms.
#[test]
fn entries_are_told_of_changed_capacity_at_once() {
    let mut harness = with_tasks(2);
    harness.resize(3_000);
    assert_eq!(harness.load.free.cpu, 1_000);
    harness.resize(12_000);
    assert_eq!(harness.load.free.cpu, 10_000);
}

#[test]
fn an_upstream_without_capacity_gets_no_tasks_until_it_grows() {
    let mut harness = with_tasks(1);
    for cpu in [0, 999] {
        harness.resize(cpu);
        harness.order(1, "k", 40 + u32::try_from(cpu).unwrap());
    }
    assert_eq!(harness.outcome_of(40), Some(Outcome::Full));
    assert_eq!(harness.outcome_of(1_039), Some(Outcome::Full));
    harness.resize(2_000);
    harness.order(1, "l", 50);
    assert_eq!(harness.starts.len(), 2);
}

// A task that was being stopped still took capacity when the new one started: together they
// exceeded the reduced capacity.
#[test]
fn tasks_being_stopped_count_against_the_reduced_capacity() {
    let mut harness = with_tasks(4);
    harness.resize(4_000);
    let actions = harness.host.handle_halt(
        &crate::harness::entry(1),
        &[crate::harness::attempt_id(1)],
        harness.now,
    );
    harness.apply(actions);
    harness.now += ms(20);
    harness.order(1, "k", 60);
    assert_eq!(harness.outcome_of(60), Some(Outcome::Full));
    harness.observe(&[], &[(1, "j-1", 1, Outcome::Stopped)]);
    harness.order(1, "l", 61);
    assert_eq!(harness.starts.len(), 5);
}

// Capacity was offered that a report then took away. The entry's order came while the offer was
// open, and its task was started beyond the capacity.
#[test]
fn offered_capacity_that_has_vanished_is_not_used() {
    let mut harness = with_tasks(9);
    harness.observe(&[], &[(1, "j-1", 1, Outcome::Done)]);
    harness.resize(8_000);
    harness.order(1, "k", 70);
    assert_eq!(harness.outcome_of(70), Some(Outcome::Full));
}

// A delayed report carried the capacity from before it shrank.
#[test]
fn an_older_report_of_more_capacity_is_ignored() {
    let mut harness = with_tasks(2);
    harness.resize(3_000);
    let older = harness.host.worker().cloned().unwrap_or_default();
    harness.resize(2_000);
    let actions = harness.host.handle_report(older, harness.now);
    harness.apply(actions);
    harness.order(1, "k", 80);
    assert_eq!(harness.outcome_of(80), Some(Outcome::Full));
}
