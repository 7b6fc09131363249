//! The order in which jobs are placed when there is too little room.

use crate::harness::{Harness, Placed, job, ms};
use cassiarock_transient::Resources;
use cassiarock_transient::message::Outcome;
use cassiarock_transient::scheduler::Answer;

fn numbers(placed: &[Placed]) -> Vec<u64> {
    placed.iter().map(|task| task.attempt.number).collect()
}

/// One upstream with room for ten tasks, which is filled by ten jobs of one task.
fn full_upstream() -> (Harness, Vec<Placed>) {
    let mut harness = Harness::new(1);
    for number in 1_001..=1_010 {
        harness.submit(number, 1, 100, 5_000);
    }
    let running = harness.placed.clone();
    assert_eq!(running.len(), 10);
    (harness, running)
}

// In a burst, every waiting job got single tasks placed as room became free, and none of them got
// its last task placed in time: of 1,050 jobs of a burst 75 failed after some of their tasks had
// run, and 153 were late. Therefore only one job at a time may be partially placed, and the next
// one starts when all tasks of the first are placed.
#[test]
fn jobs_that_find_no_room_for_all_their_tasks_are_started_one_after_the_other() {
    let (mut harness, running) = full_upstream();
    for number in 1..=2 {
        // The second task needs more room than one ended task leaves.
        let mut uneven = job(number, 1, 400);
        let mut large = uneven.stages[0].clone();
        large.demand = Resources::new(2_000, 64, 0);
        uneven.stages.push(large);
        harness.submit_job(number, uneven, 3_000);
    }
    harness.end(running[0].attempt, Outcome::Done);
    assert_eq!(numbers(&harness.placed[9..]), [1], "it is partially placed");
    harness.end(running[1].attempt, Outcome::Done);
    assert_eq!(numbers(&harness.placed[8..]), [1], "the second waits");
}

// Room that is too small for the next task of a blocked job is used by a small job that fits into
// it as a whole.
#[test]
fn a_job_that_fits_as_a_whole_passes_a_blocked_one() {
    let (mut harness, running) = full_upstream();
    let mut wide = job(1, 1, 400);
    wide.stages[0].demand = Resources::new(2_000, 64, 0);
    harness.submit_job(1, wide, 3_000);
    harness.submit(2, 1, 400, 3_000);
    harness.end(running[0].attempt, Outcome::Done);
    assert_eq!(numbers(&harness.placed[9..]), [2]);
}

// Seven of a job's eight tasks were placed when its latest start passed. The last one was ranked
// behind all other jobs and found no room before the caller left: the seven tasks had run for
// nothing.
#[test]
fn a_job_of_which_most_has_started_keeps_its_rank_past_its_latest_start() {
    let (mut harness, running) = full_upstream();
    harness.submit(1, 8, 100, 3_000);
    for task in &running[..7] {
        harness.end(task.attempt, Outcome::Done);
    }
    assert_eq!(numbers(&harness.placed[3..]), [1; 7]);
    harness.advance_full(100);
    // Others arrive that could still be on time.
    for number in 2..6 {
        harness.submit(number, 1, 400, 3_000);
    }
    harness.end(running[7].attempt, Outcome::Done);
    let last = harness.placed.last().unwrap();
    assert_eq!(last.attempt.number, 1, "its last task goes first");
}

// When the operators' priorities did not order the queue, jobs of priority 0 fared worse than those
// of priority 2: 25% of a full day's jobs of the former were served, and 74% of the latter.
#[test]
fn the_more_urgent_queue_goes_first_though_its_job_arrived_later() {
    let (mut harness, running) = full_upstream();
    harness.submit_priority(1, 1, 2);
    harness.submit_priority(2, 1, 0);
    harness.submit_priority(3, 1, 1);
    for task in &running[..3] {
        harness.end(task.attempt, Outcome::Done);
    }
    assert_eq!(numbers(&harness.placed[7..]), [2, 3, 1]);
}

// Ordered by priority alone, the jobs of the least urgent queue would get nothing while the most
// urgent one fills the system.
#[test]
fn an_eighth_of_the_least_urgent_jobs_passes_more_urgent_ones() {
    let (mut harness, running) = full_upstream();
    harness.submit_priority(8, 1, 2);
    harness.submit_priority(9, 1, 0);
    harness.end(running[0].attempt, Outcome::Done);
    assert_eq!(numbers(&harness.placed[9..]), [8]);
}

/// Submits the jobs of thirty callers whose patience is about 1.9 s.
fn submit_patient_callers(harness: &mut Harness) {
    for number in 2_001..2_031 {
        harness.submit(number, 1, 400, 1_900 + number % 7 * 10);
        let placed = harness.placed.clone();
        for task in placed.iter().filter(|task| task.attempt.number == number) {
            harness.end(task.attempt, Outcome::Done);
        }
    }
}

// After all machines had lost power, callers whose connections had broken submitted again together
// with new ones. Their answers were late whatever was done, and they took half of the room of the
// first second from callers whose jobs could still be on time.
#[test]
fn a_caller_who_has_waited_before_goes_after_one_who_can_be_on_time() {
    let mut harness = Harness::new(1);
    submit_patient_callers(&mut harness);
    for number in 1_001..=1_010 {
        harness.submit(number, 1, 100, 5_000);
    }
    let running = harness.placed.clone();
    harness.submit(1, 1, 400, 700);
    harness.submit(2, 1, 400, 1_950);
    for task in &running[..2] {
        harness.end(task.attempt, Outcome::Done);
    }
    assert_eq!(numbers(&harness.placed[8..]), [2, 1]);
}

// Half of the callers that a process sees just after its start have waited. The recorded usual
// patience counts until the process has seen enough callers.
#[test]
fn the_recorded_patience_counts_in_the_first_second_of_a_process() {
    let mut harness = Harness::new(1);
    for number in 2_001..2_031 {
        harness.submit(number, 1, 400, 600);
    }
    harness.scheduler.adopt_patience(&"r".into(), ms(1_900));
    let known: Vec<_> = harness.scheduler.usual_patience().collect();
    assert_eq!(known, [(&"r".into(), ms(1_900), true)]);
}

// If the patience of callers changes, the estimate follows, so that they are not taken forever for
// callers who have waited.
#[test]
fn the_usual_patience_follows_changes() {
    let mut harness = Harness::new(1);
    harness.scheduler.adopt_patience(&"r".into(), ms(1_900));
    for number in 1..=1_000 {
        harness.submit(number, 1, 400, 900);
        harness.advance(10);
    }
    let least = harness.scheduler.usual_patience().next().unwrap().1;
    assert!(least <= ms(900), "{least:?}");
    assert_ne!(harness.answer(1), Some(Answer::Failed));
}
