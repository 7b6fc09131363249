//! Answers say what is true.

use crate::world::{World, ms};
use cassiarock_transient::message::Outcome;
use cassiarock_transient::scheduler::Answer;

#[test]
fn a_job_whose_tasks_are_all_done_is_completed() {
    let mut world = World::new(1);
    world.submit(1, 2, 50, 2_000);
    for task in world.placed.clone() {
        assert_eq!(world.answer(1), None);
        world.end(task.attempt, Outcome::Done);
    }
    assert_eq!(world.answer(1), Some(Answer::Completed));
}

#[test]
fn a_task_that_failed_is_tried_on_another_upstream() {
    let mut world = World::new(2);
    world.submit(1, 1, 50, 2_000);
    let first = world.placed[0].clone();
    world.end(first.attempt, Outcome::Failed);
    assert_eq!(world.placed.len(), 1);
    assert_ne!(world.placed[0].agent, first.agent);
    assert_eq!(world.placed[0].attempt.attempt, 2);
}

// A job may be called failed only if one of its tasks failed as often as its queue allows.
#[test]
fn a_job_has_failed_once_a_task_has_failed_as_often_as_it_may() {
    let mut world = World::new(2);
    world.submit(1, 2, 50, 2_000);
    let first = world.placed[0].attempt;
    world.end(first, Outcome::Failed);
    let again = world
        .placed
        .iter()
        .find(|task| task.attempt.index == first.index);
    world.end(again.unwrap().attempt, Outcome::Failed);
    assert_eq!(world.answer(1), Some(Answer::Failed));
    assert_eq!(world.halted.len(), 1, "its other task is stopped");
}

// A caller was told that its job had failed, and looked for a fault in it. In truth an
// upstream had kept one of its tasks too long, and the entry had given the job up.
#[test]
fn a_job_that_was_given_up_is_not_called_failed() {
    let mut world = World::new(1);
    world.submit(1, 1, 50, 500);
    world.pass(520);
    assert_eq!(world.answer(1), Some(Answer::GivenUp));
    assert_eq!(world.halted.len(), 1);
}

// A caller was answered 504, so it could not know whether its booking had run, and did not
// dare to send it again. All orders for it had been turned away: it had surely not run.
#[test]
fn a_job_whose_orders_were_all_turned_away_is_refused_and_not_given_up() {
    let mut world = World::new(1);
    world.submit(1, 1, 50, 300);
    world.tell_full();
    let task = world.placed[0].attempt;
    world.end_full(task);
    world.pass_full(320);
    let answer = world.answer(1);
    assert!(matches!(answer, Some(Answer::Refused { .. })), "{answer:?}");
}

// An upstream had run a task when it was lost. Whatever comes after, the job may have run.
#[test]
fn a_job_of_which_a_task_was_lost_is_never_refused() {
    let mut world = World::new(1);
    world.submit(1, 1, 50, 300);
    world.tell_full();
    let task = world.placed[0].attempt;
    world.end(task, Outcome::Lost);
    world.pass_full(320);
    assert_eq!(world.answer(1), Some(Answer::GivenUp));
}

#[test]
fn a_job_that_no_upstream_has_room_for_has_failed_at_once() {
    let mut world = World::new(2);
    submit_large(&mut world, 1);
    assert_eq!(world.answer(1), Some(Answer::Failed));
}

// After a loss of power all processes start at once, and with them come the callers that
// waited. An entry that knew no agent yet refused them all, 200 ms before the agents were there.
#[test]
fn a_job_that_comes_before_the_first_agent_waits_for_it() {
    let mut world = World::starting();
    world.submit(1, 1, 200, 2_000);
    assert_eq!(world.answer(1), None);
    world.add(crate::world::agent(0));
    world.pass(50);
    assert_eq!(world.placed.len(), 1);
}

// All processes had started at once. An entry knew one upstream, too small for the job, and
// answered it as failed, which callers take for a fault of their own.
#[test]
fn a_job_that_the_first_upstream_is_too_small_for_waits_for_the_others() {
    let mut world = World::starting();
    world.add(crate::world::agent(0));
    world.beat();
    submit_large(&mut world, 1);
    assert_eq!(world.answer(1), None);
}

// Upstreams of the large kind were replaced one after the other. While the last of them was
// away, jobs that fit only there were answered as failed, as if nothing could ever run them.
#[test]
fn a_job_whose_only_fitting_upstream_is_away_is_refused_and_not_called_failed() {
    let mut world = World::new(1);
    let large = crate::world::agent(1);
    world.add(large.clone());
    let upstream = cassiarock_transient::message::Upstream {
        id: "u-large".into(),
        started_at: None,
        service: "s".into(),
        capacity: cassiarock_transient::Resources::new(20_000, 2_000, 0),
        labels: vec![],
        is_leaving: false,
    };
    let message = cassiarock_transient::Message::Upstream(Some(upstream));
    world.tell(&large, message);
    world.beat();
    world.scheduler.unlink(&large);
    world.pass(1_500);
    submit_large(&mut world, 1);
    let answer = world.answer(1);
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

/// Submits a job of one task that is larger than the usual upstream.
fn submit_large(world: &mut World, number: u64) {
    let mut job = crate::world::job(number, 1, 50);
    job.stages[0].demand.cpu = 11_000;
    world.submit_job(number, job, 2_000);
}

#[test]
fn a_job_without_any_upstream_is_refused_at_once() {
    let mut world = World::new(0);
    world.submit(1, 1, 50, 2_000);
    let answer = world.answer(1);
    assert!(
        matches!(answer, Some(Answer::Refused { is_overload: false, retry_after }) if retry_after >= ms(1_000)),
        "{answer:?}"
    );
}

#[test]
fn the_tasks_of_a_caller_that_left_are_stopped() {
    let mut world = World::new(1);
    world.submit(1, 3, 50, 2_000);
    let actions = world.scheduler.abandon(1, "its caller left", world.now);
    assert_eq!(world.scheduler.job_count(), 0);
    let halts = actions.iter().filter(|action| {
        matches!(action, cassiarock_transient::scheduler::Action::Send(_, cassiarock_transient::Message::Halt(attempts)) if attempts.len() == 3)
    });
    assert_eq!(halts.count(), 1);
}
