//! Answers to callers.

use crate::harness::{Harness, ms};
use cassiarock_transient::message::Outcome;
use cassiarock_transient::scheduler::Answer;

#[test]
fn a_job_whose_tasks_are_all_done_is_completed() {
    let mut harness = Harness::new(1);
    harness.submit(1, 2, 50, 2_000);
    for task in harness.placed.clone() {
        assert_eq!(harness.answer(1), None);
        harness.end(task.attempt, Outcome::Done);
    }
    assert_eq!(harness.answer(1), Some(Answer::Completed));
}

#[test]
fn a_task_that_failed_is_tried_on_another_upstream() {
    let mut harness = Harness::new(2);
    harness.submit(1, 1, 50, 2_000);
    let first = harness.placed[0].clone();
    harness.end(first.attempt, Outcome::Failed);
    assert_eq!(harness.placed.len(), 1);
    assert_ne!(harness.placed[0].agent, first.agent);
    assert_eq!(harness.placed[0].attempt.attempt, 2);
}

// A job may be answered as failed only if one of its tasks failed as often as its queue allows.
#[test]
fn a_job_has_failed_once_a_task_has_failed_as_often_as_it_may() {
    let mut harness = Harness::new(2);
    harness.submit(1, 2, 50, 2_000);
    let first = harness.placed[0].attempt;
    harness.end(first, Outcome::Failed);
    let again = harness
        .placed
        .iter()
        .find(|task| task.attempt.index == first.index);
    harness.end(again.unwrap().attempt, Outcome::Failed);
    assert_eq!(harness.answer(1), Some(Answer::Failed));
    assert_eq!(harness.halted.len(), 1, "its other task is stopped");
}

// A job that the entry gave up, because an upstream ran one of its tasks too long, was answered as
// failed. Its caller looked for a fault in the job.
#[test]
fn a_job_that_was_given_up_is_not_answered_as_failed() {
    let mut harness = Harness::new(1);
    harness.submit(1, 1, 50, 500);
    harness.advance(520);
    assert_eq!(harness.answer(1), Some(Answer::GivenUp));
    assert_eq!(harness.halted.len(), 1);
}

// A job whose orders had all been refused was answered 504. Its caller could not know that it had
// not run, and did not submit it again.
#[test]
fn a_job_whose_orders_were_all_refused_is_refused_and_not_given_up() {
    let mut harness = Harness::new(1);
    harness.submit(1, 1, 50, 300);
    harness.report_full();
    let task = harness.placed[0].attempt;
    harness.refuse_full(task);
    harness.advance_full(320);
    let answer = harness.answer(1);
    assert!(matches!(answer, Some(Answer::Refused { .. })), "{answer:?}");
}

// An upstream was lost with a task of the job. Whatever happens later, the job may have run.
#[test]
fn a_job_of_which_a_task_was_lost_is_never_refused() {
    let mut harness = Harness::new(1);
    harness.submit(1, 1, 50, 300);
    harness.report_full();
    let task = harness.placed[0].attempt;
    harness.end(task, Outcome::Lost);
    harness.advance_full(320);
    assert_eq!(harness.answer(1), Some(Answer::GivenUp));
}

#[test]
fn a_job_that_no_upstream_has_capacity_for_fails_at_once() {
    let mut harness = Harness::new(2);
    harness.advance(LEARNING);
    submit_large(&mut harness, 1);
    assert_eq!(harness.answer(1), Some(Answer::Failed));
}

// Until an entry has seen all kinds of upstream, a caller whose job fits none of them hears at once
// that it did not run.
#[test]
fn a_job_that_fits_no_upstream_seen_since_the_start_is_refused_at_once() {
    let mut harness = Harness::new(2);
    submit_large(&mut harness, 1);
    let answer = harness.answer(1);
    assert!(
        matches!(
            answer,
            Some(Answer::Refused {
                is_overload: false,
                ..
            })
        ),
        "{answer:?}"
    );
}

// After a power loss all processes start at once, and the waiting callers submit their jobs. An
// entry that knew no agent yet refused them all, 200 ms before the agents were linked.
#[test]
fn a_job_that_comes_before_the_first_agent_waits_for_it() {
    let mut harness = Harness::starting();
    harness.submit(1, 1, 200, 2_000);
    assert_eq!(harness.answer(1), None);
    harness.add_agent(crate::harness::agent(0));
    harness.advance(50);
    assert_eq!(harness.placed.len(), 1);
}

// All processes had started at once. An entry that knew only one upstream, too small for the job,
// answered the job as failed, which callers take for a fault of their own.
#[test]
fn a_job_that_is_too_large_for_the_first_upstream_waits_for_the_others() {
    let mut harness = Harness::starting();
    harness.add_agent(crate::harness::agent(0));
    harness.heartbeat_all();
    submit_large(&mut harness, 1);
    assert_eq!(harness.answer(1), None);
}

// Upstreams of the large kind were replaced one after the other. While the last of them was away,
// jobs that fit only there were answered as failed, as if no upstream could ever run them.
#[test]
fn a_job_whose_only_fitting_upstream_is_away_is_refused_and_not_failed() {
    let mut harness = Harness::new(1);
    let large = crate::harness::agent(1);
    harness.add_agent(large.clone());
    let upstream = cassiarock_transient::message::Upstream {
        id: "u-large".into(),
        started_at: None,
        service: "s".into(),
        capacity: cassiarock_transient::Resources::new(20_000, 2_000, 0),
        labels: vec![],
        is_leaving: false,
        ..cassiarock_transient::message::Upstream::default()
    };
    let message = cassiarock_transient::Message::Upstream(Some(upstream));
    harness.deliver(&large, message);
    harness.heartbeat_all();
    harness.scheduler.unlink(&large);
    harness.advance(1_500);
    submit_large(&mut harness, 1);
    let answer = harness.answer(1);
    assert!(
        matches!(
            answer,
            Some(Answer::Refused {
                is_overload: false,
                ..
            })
        ),
        "{answer:?}"
    );
}

/// How long an entry learns which kinds of upstream there are, in milliseconds.
const LEARNING: u64 = 10_000;

/// Submits a job of one task that is larger than the capacity of the usual upstream.
fn submit_large(harness: &mut Harness, number: u64) {
    let mut job = crate::harness::job(number, 1, 50);
    job.stages[0].demand.cpu = 11_000;
    harness.submit_job(number, job, 2_000);
}

#[test]
fn a_job_without_any_upstream_is_refused_at_once() {
    let mut harness = Harness::new(0);
    harness.submit(1, 1, 50, 2_000);
    let answer = harness.answer(1);
    assert!(
        matches!(answer, Some(Answer::Refused { is_overload: false, retry_after }) if retry_after >= ms(1_000)),
        "{answer:?}"
    );
}

#[test]
fn the_tasks_of_a_caller_that_left_are_stopped() {
    let mut harness = Harness::new(1);
    harness.submit(1, 3, 50, 2_000);
    let actions = harness.scheduler.abandon(1, "its caller left", harness.now);
    assert_eq!(harness.scheduler.job_count(), 0);
    let halts = actions.iter().filter(|action| {
        matches!(action, cassiarock_transient::scheduler::Action::Send(_, cassiarock_transient::Message::Halt(attempts)) if attempts.len() == 3)
    });
    assert_eq!(halts.count(), 1);
}

// Upstreams whose room changed pushed a larger kind that was away out of memory, and a job that fits only there was answered as failed.
#[test]
fn a_kind_of_upstream_that_is_away_is_not_forgotten() {
    let mut harness = Harness::new(3);
    harness.advance(1_500);
    let big = crate::harness::agent(0);
    let announce = |harness: &mut Harness, agent: &cassiarock_id::Process, cpu: u64| {
        let upstream = cassiarock_transient::message::Upstream {
            id: format!("u-{}", agent.name).into(),
            started_at: None,
            service: "s".into(),
            capacity: cassiarock_transient::Resources {
                cpu,
                ..crate::harness::CAPACITY
            },
            labels: vec![],
            is_leaving: false,
            ..cassiarock_transient::message::Upstream::default()
        };
        harness.deliver(
            agent,
            cassiarock_transient::Message::Upstream(Some(upstream)),
        );
    };
    announce(&mut harness, &big, 4 * crate::harness::CAPACITY.cpu);
    harness.deliver(&big, cassiarock_transient::Message::Upstream(None));
    for step in 0..70 {
        announce(
            &mut harness,
            &crate::harness::agent(1),
            crate::harness::CAPACITY.cpu - step,
        );
    }
    harness.advance(50);
    let mut job = crate::harness::job(1, 1, 200);
    job.stages[0].demand.cpu = 2 * crate::harness::CAPACITY.cpu;
    harness.submit_job(1, job, 9_000);
    assert_ne!(harness.answer(1), Some(Answer::Failed));
}

// An entry that started while the only upstream large enough was away answered the job as failed.
#[test]
fn a_job_that_fits_only_an_upstream_that_was_away_at_the_start_is_not_failed() {
    let mut harness = Harness::new(3);
    harness.advance(1_500);
    let mut job = crate::harness::job(1, 1, 200);
    job.stages[0].demand.cpu = 2 * crate::harness::CAPACITY.cpu;
    harness.submit_job(1, job, 9_000);
    assert_ne!(harness.answer(1), Some(Answer::Failed));
}
