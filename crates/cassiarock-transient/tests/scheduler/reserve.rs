//! Room that is reserved for more urgent jobs.

use crate::harness::{Harness, job, ms};
use cassiarock_transient::Resources;
use cassiarock_transient::message::Outcome;
use cassiarock_transient::scheduler::Action;

/// Submits jobs of one task each on the least urgent route, more than there is room for. It skips
/// the numbers of jobs that are ordered by their latest start alone.
fn flood(harness: &mut Harness, first: u64) {
    for number in (first..).filter(|number| number % 8 != 0).take(100) {
        harness.submit_priority(number, 1, 2);
    }
}

/// Submits an urgent job that is done at once.
fn run_urgent_job(harness: &mut Harness, number: u64) {
    harness.submit_priority(number, 1, 0);
    let task = harness.placed.last().unwrap().clone();
    assert_eq!(task.attempt.number, number);
    harness.end(task.attempt, Outcome::Done);
}

// In a burst, less urgent jobs took all room as it became free, at this entry and at others. Urgent
// jobs of several tasks found none in the 80 ms that they have to spare: 90% of them were on time,
// but 97% of the less urgent ones.
#[test]
fn less_urgent_jobs_leave_some_room_to_urgent_ones() {
    let mut harness = Harness::new(8);
    run_urgent_job(&mut harness, 1);
    flood(&mut harness, 1_001);
    assert_eq!(harness.placed.len(), 77, "of 80");
    harness.submit_priority(2, 3, 0);
    assert_eq!(harness.placed.len(), 80);
}

#[test]
fn all_room_is_used_if_only_one_kind_of_jobs_arrives() {
    let mut harness = Harness::new(4);
    flood(&mut harness, 1_001);
    assert_eq!(harness.placed.len(), 40);
}

// Room reserved for jobs that do not arrive would be lost to those that do.
#[test]
fn no_room_is_reserved_once_urgent_jobs_stop_arriving() {
    let mut harness = Harness::new(4);
    run_urgent_job(&mut harness, 1);
    harness.advance(3_000);
    flood(&mut harness, 1_001);
    assert_eq!(harness.placed.len(), 40);
}

// In a burst of urgent jobs over several seconds, the reserved room was closed to the less urgent
// kind all the time, which fared worse than the urgent one.
#[test]
fn a_kind_that_fares_worse_than_urgent_ones_is_not_held_back() {
    let mut harness = Harness::new(4);
    run_urgent_job(&mut harness, 1);
    flood(&mut harness, 1_001);
    harness.advance(1_900);
    let refused = harness.answers.len();
    assert!(
        refused > 10,
        "those that found no room were refused: {refused}"
    );
    let running = harness.placed.clone();
    for task in &running {
        harness.end(task.attempt, Outcome::Done);
    }
    run_urgent_job(&mut harness, 2);
    flood(&mut harness, 2_001);
    assert_eq!(harness.placed.len(), 40);
}

#[test]
fn a_refusal_for_the_sake_of_a_waiting_urgent_job_names_that_cause() {
    let mut harness = Harness::new(8);
    harness.submit_priority(1, 1, 0);
    let task = harness.placed[0].clone();
    harness.advance(400);
    harness.end(task.attempt, Outcome::Done);
    flood(&mut harness, 1_001);
    harness.advance(100);
    let mut urgent = job(2, 1, 400);
    urgent.stages[0].demand = Resources::new(4_000, 64, 0);
    harness.submit_job(2, urgent, 3_000);
    harness.advance(80);
    assert_eq!(harness.placed.len(), 77, "of 80");
    harness.now += ms(20);
    let actions = harness.scheduler.poll(harness.now);
    let cause = actions.iter().find_map(|action| match action {
        Action::Log(line) if line.kind == "refused" => {
            line.fields.iter().find(|(name, _)| *name == "cause")
        }
        _ => None,
    });
    let kept = ("cause", "kept for urgent work".to_owned());
    assert_eq!(cause, Some(&kept));
}
