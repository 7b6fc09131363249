//! Room that shrinks and grows while tasks run.

use crate::world::{World, ms};
use cassiarock_transient::message::Outcome;

/// An agent with so many tasks of one core each, of the ten that fit.
fn with_tasks(count: u32) -> World {
    let mut world = World::new();
    for attempt in 1..=count {
        world.order(1, &format!("j-{attempt}"), attempt);
    }
    assert_eq!(world.starts.len(), count as usize);
    world
}

// An upstream's room shrank below what ran there. More was started on it as soon as one task
// ended, though what ran still took more than there was.
#[test]
fn nothing_starts_before_what_runs_fits_into_the_shrunk_room() {
    let mut world = with_tasks(8);
    world.resize(4_000);
    assert_eq!(world.load.free.cpu, 0);
    for ended in 1..=4 {
        let job = format!("j-{ended}");
        world.observe(&[], &[(u64::from(ended), &job, ended, Outcome::Done)]);
        world.order(1, "k", 20 + ended);
        assert_eq!(
            world.end_of(20 + ended),
            Some(Outcome::Full),
            "after {ended} ends"
        );
    }
    assert!(world.stops.is_empty(), "what runs goes on");
    world.observe(&[], &[(5, "j-5", 5, Outcome::Done)]);
    world.order(1, "l", 30);
    assert_eq!(world.starts.len(), 9);
}

// Entries went on placing for up to a tenth of a second by the room that had been.
#[test]
fn entries_hear_of_shrunk_room_at_once() {
    let mut world = with_tasks(2);
    world.resize(3_000);
    assert_eq!(world.load.free.cpu, 1_000);
    world.resize(12_000);
    assert_eq!(world.load.free.cpu, 10_000);
}

#[test]
fn an_upstream_without_room_is_given_nothing_and_is_used_again_when_it_grows() {
    let mut world = with_tasks(1);
    for cpu in [0, 999] {
        world.resize(cpu);
        world.order(1, "k", 40 + u32::try_from(cpu).unwrap());
    }
    assert_eq!(world.end_of(40), Some(Outcome::Full));
    assert_eq!(world.end_of(1_039), Some(Outcome::Full));
    world.resize(2_000);
    world.order(1, "l", 50);
    assert_eq!(world.starts.len(), 2);
}

// A task that was being stopped still took its room while the new one started: together they
// were more than the upstream had left.
#[test]
fn what_is_being_stopped_counts_in_the_shrunk_room() {
    let mut world = with_tasks(4);
    world.resize(4_000);
    let actions =
        world
            .host
            .handle_halt(&crate::world::entry(1), &[crate::world::held(1)], world.now);
    world.take(actions);
    world.now += ms(20);
    world.order(1, "k", 60);
    assert_eq!(world.end_of(60), Some(Outcome::Full));
    world.observe(&[], &[(1, "j-1", 1, Outcome::Stopped)]);
    world.order(1, "l", 61);
    assert_eq!(world.starts.len(), 5);
}

// An offer was made of room that a report then took away. Its entry's order came within the time
// that the room was held, and was started beyond what there was.
#[test]
fn room_that_was_offered_and_is_gone_is_not_given() {
    let mut world = with_tasks(9);
    world.observe(&[], &[(1, "j-1", 1, Outcome::Done)]);
    world.resize(8_000);
    world.order(1, "k", 70);
    assert_eq!(world.end_of(70), Some(Outcome::Full));
}

// A held-up report told of the room that had been before it shrank.
#[test]
fn an_older_report_of_more_room_changes_nothing() {
    let mut world = with_tasks(2);
    world.resize(3_000);
    let older = world.host.worker().cloned().unwrap_or_default();
    world.resize(2_000);
    let actions = world.host.handle_report(older, world.now);
    world.take(actions);
    world.order(1, "k", 80);
    assert_eq!(world.end_of(80), Some(Outcome::Full));
}
