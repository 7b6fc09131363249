//! Jobs of an entry whose process is leaving.

use crate::harness::{CAPACITY, Harness, agent, ms};
use cassiarock_transient::message::Outcome;
use cassiarock_transient::scheduler::Answer;
use std::time::Duration;
use yare::parameterized;

/// Starts the shutdown with this many milliseconds left.
fn shut_down(harness: &mut Harness, left: u64) -> Duration {
    let deadline = harness.now + ms(left);
    harness.scheduler.shut_down(deadline);
    deadline
}

fn is_refused(answer: Option<Answer>) -> bool {
    matches!(
        answer,
        Some(Answer::Refused {
            is_overload: false,
            ..
        })
    )
}

/// Advances the time with heartbeats of three agents, of which the one with the task is slow.
fn advance_slow(harness: &mut Harness, millis: u64) {
    let slow = harness.placed[0].agent.clone();
    for _ in 0..millis / 10 {
        harness.now += ms(10);
        for agent in [agent(0), agent(1), agent(2)] {
            let pace = if agent == slow { 400 } else { 100 };
            harness.heartbeat_paced(&agent, pace);
        }
        harness.poll();
    }
}

// Its caller's connection was closed without an answer when the process ended.
#[test]
fn a_job_that_still_runs_at_the_shutdown_deadline_is_given_up_and_stopped() {
    let mut harness = Harness::new(1);
    harness.submit(1, 2, 5_000, 20_000);
    let deadline = shut_down(&mut harness, 1_000);
    harness.advance(990);
    assert_eq!(harness.answer(1), None);
    harness.advance(50);
    assert_eq!(harness.answer(1), Some(Answer::GivenUp));
    assert!(harness.answers[&1].1 <= deadline + ms(40));
    assert_eq!(harness.halted.len(), 2);
    assert_eq!(harness.scheduler.job_count(), 0);
}

// A retried task waited for room while the process ended, and the caller got no answer.
#[test]
fn a_job_with_a_task_to_retry_is_given_up_at_the_shutdown_deadline() {
    let mut harness = Harness::new(1);
    harness.submit(1, 1, 400, 20_000);
    harness.report_full();
    let task = harness.placed[0].attempt;
    harness.end(task, Outcome::Lost);
    shut_down(&mut harness, 500);
    harness.advance_full(600);
    assert_eq!(harness.answer(1), Some(Answer::GivenUp));
}

// A job of which nothing had run was held until the process ended.
#[test]
fn a_waiting_job_is_refused_once_it_cannot_end_before_the_shutdown_deadline() {
    let mut harness = Harness::new(1);
    let tasks = u32::try_from(CAPACITY.cpu / 1_000).unwrap();
    harness.submit(1, tasks, 5_000, 20_000);
    harness.submit(2, 1, 800, 20_000);
    shut_down(&mut harness, 2_000);
    harness.advance(1_100);
    assert_eq!(harness.answer(2), None, "it can still end in time");
    harness.advance(200);
    assert!(is_refused(harness.answer(2)), "{:?}", harness.answer(2));
    assert_eq!(harness.answer(1), None);
}

#[test]
fn a_leaving_entry_admits_only_jobs_that_can_end_before_the_shutdown_deadline() {
    let mut harness = Harness::new(1);
    shut_down(&mut harness, 1_000);
    harness.submit(1, 1, 1_200, 20_000);
    assert!(is_refused(harness.answer(1)), "{:?}", harness.answer(1));
    harness.submit(2, 1, 200, 20_000);
    assert_eq!(harness.answer(2), None);
    let task = harness.placed[0].attempt;
    harness.end(task, Outcome::Done);
    assert_eq!(harness.answer(2), Some(Answer::Completed));
}

// Two overlapping shutdowns: the process is asked to end at once while it finishes its jobs.
#[test]
fn a_second_shutdown_only_brings_the_deadline_forward() {
    let mut harness = Harness::new(1);
    harness.submit(1, 1, 5_000, 20_000);
    shut_down(&mut harness, 200);
    shut_down(&mut harness, 2_000);
    harness.advance(250);
    assert_eq!(harness.answer(1), Some(Answer::GivenUp));
}

#[test]
fn a_job_that_no_upstream_had_room_for_is_refused_at_the_shutdown() {
    let mut harness = Harness::new(1);
    harness.submit(1, 1, 400, 20_000);
    let task = harness.placed[0].attempt;
    harness.refuse_full(task);
    shut_down(&mut harness, 300);
    harness.advance_full(20);
    assert!(is_refused(harness.answer(1)), "{:?}", harness.answer(1));
    harness.advance(500);
    assert!(harness.placed.is_empty(), "{:?}", harness.placed);
}

#[test]
fn a_job_whose_task_is_being_moved_is_given_up_at_the_shutdown_deadline() {
    let mut harness = Harness::new(3);
    harness.submit(1, 1, 100, 20_000);
    let task = harness.placed[0].clone();
    advance_slow(&mut harness, 300);
    assert_eq!(harness.halted, [task.attempt]);
    shut_down(&mut harness, 50);
    harness.advance(40);
    assert_eq!(harness.answer(1), None);
    harness.advance(20);
    assert_eq!(harness.answer(1), Some(Answer::GivenUp));
}

#[parameterized(in_time = { 1_000, true }, too_late = { 150, false })]
fn a_task_is_moved_only_if_its_next_attempt_ends_before_the_shutdown_deadline(
    left: u64,
    is_moved: bool,
) {
    let mut harness = Harness::new(3);
    harness.submit(1, 1, 100, 20_000);
    advance_slow(&mut harness, 200);
    shut_down(&mut harness, left);
    advance_slow(&mut harness, 140);
    assert_eq!(!harness.halted.is_empty(), is_moved);
    assert_eq!(harness.answer(1), None);
}
