//! Jobs of an entry whose process is leaving.

use crate::harness::{CAPACITY, Harness, ms};
use cassiarock_transient::message::Outcome;
use cassiarock_transient::scheduler::Answer;
use std::time::Duration;

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
