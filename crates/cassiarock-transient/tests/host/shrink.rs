//! Capacity that shrinks and grows while tasks run.

use crate::world::{World, ms};
use cassiarock_transient::message::Outcome;

/// An agent with this many tasks of one core each, of the ten that fit.
fn with_tasks(count: u32) -> World {
    let mut world = World::new();
    for attempt in 1..=count {
        world.order(1, &format!("j-{attempt}"), attempt);
    }
    assert_eq!(world.starts.len(), count as usize);
    world
}

// An upstream's capacity shrank below what its running tasks took. A new task was started as soon
// as one had ended, although the others still exceeded the capacity.
#[test]
fn nothing_starts_until_running_tasks_fit_the_reduced_capacity() {
    let mut world = with_tasks(8);
    world.resize(4_000);
    assert_eq!(world.load.free.cpu, 0);
    for ended in 1..=4 {
        let job = format!("j-{ended}");
        world.observe(&[], &[(u64::from(ended), &job, ended, Outcome::Done)]);
        world.order(1, "k", 20 + ended);
        assert_eq!(
            world.outcome_of(20 + ended),
            Some(Outcome::Full),
            "after {ended} ends"
        );
    }
    assert!(world.stops.is_empty(), "what runs goes on");
    world.observe(&[], &[(5, "j-5", 5, Outcome::Done)]);
    world.order(1, "l", 30);
    assert_eq!(world.starts.len(), 9);
}

// Entries kept placing tasks by the old capacity for up to 100 ms.
#[test]
fn entries_are_told_of_changed_capacity_at_once() {
    let mut world = with_tasks(2);
    world.resize(3_000);
    assert_eq!(world.load.free.cpu, 1_000);
    world.resize(12_000);
    assert_eq!(world.load.free.cpu, 10_000);
}

#[test]
fn an_upstream_without_capacity_gets_no_tasks_until_it_grows() {
    let mut world = with_tasks(1);
    for cpu in [0, 999] {
        world.resize(cpu);
        world.order(1, "k", 40 + u32::try_from(cpu).unwrap());
    }
    assert_eq!(world.outcome_of(40), Some(Outcome::Full));
    assert_eq!(world.outcome_of(1_039), Some(Outcome::Full));
    world.resize(2_000);
    world.order(1, "l", 50);
    assert_eq!(world.starts.len(), 2);
}

// A task that was being stopped still took capacity when the new one started: together they
// exceeded the reduced capacity.
#[test]
fn tasks_being_stopped_count_against_the_reduced_capacity() {
    let mut world = with_tasks(4);
    world.resize(4_000);
    let actions = world.host.handle_halt(
        &crate::world::entry(1),
        &[crate::world::attempt_id(1)],
        world.now,
    );
    world.apply(actions);
    world.now += ms(20);
    world.order(1, "k", 60);
    assert_eq!(world.outcome_of(60), Some(Outcome::Full));
    world.observe(&[], &[(1, "j-1", 1, Outcome::Stopped)]);
    world.order(1, "l", 61);
    assert_eq!(world.starts.len(), 5);
}

// Capacity was offered that a report then took away. The entry's order came while the offer was
// open, and its task was started beyond the capacity.
#[test]
fn offered_capacity_that_has_vanished_is_not_used() {
    let mut world = with_tasks(9);
    world.observe(&[], &[(1, "j-1", 1, Outcome::Done)]);
    world.resize(8_000);
    world.order(1, "k", 70);
    assert_eq!(world.outcome_of(70), Some(Outcome::Full));
}

// A delayed report carried the capacity from before it shrank.
#[test]
fn an_older_report_of_more_capacity_is_ignored() {
    let mut world = with_tasks(2);
    world.resize(3_000);
    let older = world.host.worker().cloned().unwrap_or_default();
    world.resize(2_000);
    let actions = world.host.handle_report(older, world.now);
    world.apply(actions);
    world.order(1, "k", 80);
    assert_eq!(world.outcome_of(80), Some(Outcome::Full));
}
