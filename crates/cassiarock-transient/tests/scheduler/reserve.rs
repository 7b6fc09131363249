//! Room that is left to more urgent jobs.

use crate::world::World;
use cassiarock_transient::message::Outcome;

/// Jobs of one task each of the least urgent queue, more than there is room for. None of their
/// numbers is one of those that go by their latest start alone.
fn flood(world: &mut World, first: u64) {
    for number in (first..).filter(|number| number % 8 != 0).take(100) {
        world.submit_of(number, 1, 2);
    }
}

/// An urgent job that is done at once.
fn urgent_job_is_done(world: &mut World, number: u64) {
    world.submit_of(number, 1, 0);
    let task = world.placed.last().unwrap().clone();
    assert_eq!(task.attempt.number, number);
    world.end(task.attempt, Outcome::Done);
}

// Front desks look up free seats and, far less urgently, have instructors assigned. In a burst
// assignments took all room as it became free, here and at other entries; a look-up of several
// tasks found none in the 80 ms that it has to spare. Of the urgent look-ups 90 in a hundred were
// on time, of the assignments 97.
#[test]
fn less_urgent_jobs_leave_some_room_to_urgent_ones() {
    let mut world = World::new(8);
    urgent_job_is_done(&mut world, 1);
    flood(&mut world, 1_001);
    assert_eq!(world.placed.len(), 77, "of 80");
    world.submit_of(2, 3, 0);
    assert_eq!(world.placed.len(), 80);
}

#[test]
fn all_room_is_used_where_one_kind_alone_comes() {
    let mut world = World::new(4);
    flood(&mut world, 1_001);
    assert_eq!(world.placed.len(), 40);
}

// Room that is kept for jobs that do not come is lost to those that do.
#[test]
fn no_room_is_kept_once_urgent_jobs_stay_away() {
    let mut world = World::new(4);
    urgent_job_is_done(&mut world, 1);
    world.pass(3_000);
    flood(&mut world, 1_001);
    assert_eq!(world.placed.len(), 40);
}

// Urgent jobs filled a burst of several seconds. The less urgent kind found the room left to
// them closed all the while, and fared worse than they did.
#[test]
fn a_kind_that_fares_worse_than_urgent_ones_is_not_held_back() {
    let mut world = World::new(4);
    urgent_job_is_done(&mut world, 1);
    flood(&mut world, 1_001);
    world.pass(1_900);
    let refused = world.answers.len();
    assert!(
        refused > 10,
        "those that found no room were refused: {refused}"
    );
    let running = world.placed.clone();
    for task in &running {
        world.end(task.attempt, Outcome::Done);
    }
    urgent_job_is_done(&mut world, 2);
    flood(&mut world, 2_001);
    assert_eq!(world.placed.len(), 40);
}
