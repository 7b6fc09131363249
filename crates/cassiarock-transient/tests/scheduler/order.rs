//! Which jobs go first when there is too little room.

use crate::world::{Placed, World, job, ms};
use cassiarock_transient::Resources;
use cassiarock_transient::message::Outcome;
use cassiarock_transient::scheduler::Answer;

fn numbers(placed: &[Placed]) -> Vec<u64> {
    placed.iter().map(|task| task.attempt.number).collect()
}

/// One upstream with room for ten tasks, all of it taken by ten jobs of one task.
fn full() -> (World, Vec<Placed>) {
    let mut world = World::new(1);
    for number in 1_001..=1_010 {
        world.submit(number, 1, 100, 5_000);
    }
    let running = world.placed.clone();
    assert_eq!(running.len(), 10);
    (world, running)
}

// In a burst every job that waited got a task placed here and there, as rooms became free, so
// that none of them had its last task placed in time: of 1,050 jobs of a burst 75 failed after
// some of their tasks had run, and 153 were late. With one job started in pieces at a time the
// first is whole before the second begins.
#[test]
fn jobs_that_find_no_room_for_all_their_tasks_are_started_one_after_the_other() {
    let (mut world, running) = full();
    for number in 1..=2 {
        // Its second task takes more room than a single end leaves.
        let mut uneven = job(number, 1, 400);
        let mut large = uneven.stages[0].clone();
        large.demand = Resources::new(2_000, 64, 0);
        uneven.stages.push(large);
        world.submit_job(number, uneven, 3_000);
    }
    world.end(running[0].attempt, Outcome::Done);
    assert_eq!(numbers(&world.placed[9..]), [1], "it is open now");
    world.end(running[1].attempt, Outcome::Done);
    assert_eq!(numbers(&world.placed[8..]), [1], "the second waits");
}

// A small job fits into the room that is too small for the open job's next task, so that this
// room need not stand idle.
#[test]
fn a_job_that_fits_whole_goes_past_the_open_one() {
    let (mut world, running) = full();
    let mut wide = job(1, 1, 400);
    wide.stages[0].demand = Resources::new(2_000, 64, 0);
    world.submit_job(1, wide, 3_000);
    world.submit(2, 1, 400, 3_000);
    world.end(running[0].attempt, Outcome::Done);
    assert_eq!(numbers(&world.placed[9..]), [2]);
}

// Seven of a job's eight tasks were placed when its latest start passed. The last one went
// behind all other jobs and found no room before its caller's time was over: the caller got
// nothing for seven tasks that had run.
#[test]
fn a_job_of_which_most_has_started_keeps_its_rank_past_its_latest_start() {
    let (mut world, running) = full();
    world.submit(1, 8, 100, 3_000);
    for task in &running[..7] {
        world.end(task.attempt, Outcome::Done);
    }
    assert_eq!(numbers(&world.placed[3..]), [1; 7]);
    world.pass_full(100);
    // Others arrive that could still be on time.
    for number in 2..6 {
        world.submit(number, 1, 400, 3_000);
    }
    world.end(running[7].attempt, Outcome::Done);
    let last = world.placed.last().unwrap();
    assert_eq!(last.attempt.number, 1, "its last task goes first");
}

// The operators had given water lookups the priority 0 and listings 2, and the lookups fared
// worst: of a full day's lookups 25 in a hundred were served, of its listings 74.
#[test]
fn the_more_urgent_queue_goes_first_though_its_job_came_later() {
    let (mut world, running) = full();
    world.submit_of(1, 1, 2);
    world.submit_of(2, 1, 0);
    world.submit_of(3, 1, 1);
    for task in &running[..3] {
        world.end(task.attempt, Outcome::Done);
    }
    assert_eq!(numbers(&world.placed[7..]), [2, 3, 1]);
}

// With priority alone, callers of the least urgent queue would get nothing for as long as the
// most urgent one fills the system.
#[test]
fn the_least_urgent_queue_gets_an_eighth_of_its_jobs_past_the_more_urgent() {
    let (mut world, running) = full();
    world.submit_of(8, 1, 2);
    world.submit_of(9, 1, 0);
    world.end(running[0].attempt, Outcome::Done);
    assert_eq!(numbers(&world.placed[9..]), [8]);
}

/// Lets thirty callers come whose patience is about 1.9 s.
fn learn(world: &mut World) {
    for number in 2_001..2_031 {
        world.submit(number, 1, 400, 1_900 + number % 7 * 10);
        let placed = world.placed.clone();
        for task in placed.iter().filter(|task| task.attempt.number == number) {
            world.end(task.attempt, Outcome::Done);
        }
    }
}

// All machines lost power, and callers whose connections had broken came back with the others.
// Their answers were late whatever was done; they took half of the room of the first second
// from callers who could still be on time.
#[test]
fn a_caller_who_has_waited_before_goes_after_one_who_can_be_on_time() {
    let mut world = World::new(1);
    learn(&mut world);
    for number in 1_001..=1_010 {
        world.submit(number, 1, 100, 5_000);
    }
    let running = world.placed.clone();
    world.submit(1, 1, 400, 700);
    world.submit(2, 1, 400, 1_950);
    for task in &running[..2] {
        world.end(task.attempt, Outcome::Done);
    }
    assert_eq!(numbers(&world.placed[8..]), [2, 1]);
}

// A process that has just started sees callers of whom half have waited. What is on record of
// the usual patience counts until it has seen enough of them.
#[test]
fn the_patience_on_record_counts_in_the_first_second_of_a_process() {
    let mut world = World::new(1);
    for number in 2_001..2_031 {
        world.submit(number, 1, 400, 600);
    }
    world.scheduler.adopt_patience(&"r".into(), ms(1_900));
    let known: Vec<_> = world.scheduler.usual_patience().collect();
    assert_eq!(known, [(&"r".into(), ms(1_900), true)]);
}

// Callers of another kind of patience than before are not taken for ones who have waited for
// good: the figure follows them.
#[test]
fn the_usual_patience_follows_what_callers_do() {
    let mut world = World::new(1);
    world.scheduler.adopt_patience(&"r".into(), ms(1_900));
    for number in 1..=1_000 {
        world.submit(number, 1, 400, 900);
        world.pass(10);
    }
    let least = world.scheduler.usual_patience().next().unwrap().1;
    assert!(least <= ms(900), "{least:?}");
    assert_ne!(world.answer(1), Some(Answer::Failed));
}
