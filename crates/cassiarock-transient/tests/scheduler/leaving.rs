//! Tasks on upstreams that announce their end, for upstreams replaced at short notice.

use crate::harness::{CAPACITY, Harness, agent, ms};
use cassiarock_id::Process;
use cassiarock_transient::message::{Attempt, AttemptResult, Outcome, Upstream};
use cassiarock_transient::scheduler::{Answer, Mechanisms};
use cassiarock_transient::{Message, Scheduler};

impl Harness {
    /// Delivers what an agent says of its upstream that ends in `left` ms, or does not say when.
    fn announce_end(&mut self, agent: &Process, left: Option<u64>) {
        let upstream = Upstream {
            id: format!("u-{}", agent.name).into(),
            service: "s".into(),
            capacity: CAPACITY,
            is_leaving: true,
            remaining: left.map(ms),
            ..Upstream::default()
        };
        self.deliver(agent, Message::Upstream(Some(upstream)));
    }

    /// Delivers the end of an attempt at the agent where it was stopped.
    fn report_at(&mut self, agent: &Process, attempt: Attempt, outcome: Outcome) {
        let ending = AttemptResult {
            attempt,
            outcome,
            ran: ms(100),
        };
        self.report_ending(agent, ending);
    }

    /// The agents that run the task, and its attempt.
    fn places(&self) -> Vec<(Process, u32)> {
        let placed = self.placed.iter();
        placed
            .map(|task| (task.agent.clone(), task.attempt.attempt))
            .collect()
    }
}

/// A job of one 1 s task that has run for this long on one of two upstreams. Returns its place, the
/// other upstream and the attempt.
fn running(millis: u64, patience: u64) -> (Harness, Process, Process, Attempt) {
    let mut harness = Harness::new(2);
    harness.submit(1, 1, 1_000, patience);
    let task = harness.placed[0].clone();
    harness.advance(millis);
    let other = if task.agent == agent(0) {
        agent(1)
    } else {
        agent(0)
    };
    (harness, task.agent, other, task.attempt)
}

#[test]
fn a_task_that_cannot_end_there_is_stopped_and_then_started_elsewhere() {
    let (mut harness, leaving, other, attempt) = running(100, 5_000);
    harness.announce_end(&leaving, Some(300));
    harness.advance(20);
    assert_eq!(harness.halted, [attempt]);
    assert!(
        harness.placed.is_empty(),
        "nothing starts before the stop is confirmed"
    );
    harness.report_at(&leaving, attempt, Outcome::Stopped);
    assert_eq!(harness.places(), [(other, 2)]);
    harness.advance(1_000);
    let again = harness.placed[0].attempt;
    harness.end(again, Outcome::Done);
    assert_eq!(harness.answer(1), Some(Answer::Completed));
}

#[test]
fn a_task_that_is_expected_to_end_there_stays() {
    let (mut harness, leaving, _, attempt) = running(700, 5_000);
    harness.announce_end(&leaving, Some(900));
    harness.advance(300);
    assert!(harness.halted.is_empty());
    harness.end(attempt, Outcome::Done);
    assert_eq!(harness.answer(1), Some(Answer::Completed));
}

#[test]
fn a_task_that_would_be_late_elsewhere_is_not_thrown_away() {
    let (mut harness, leaving, _, _) = running(800, 5_000);
    harness.announce_end(&leaving, Some(150));
    harness.advance(150);
    assert!(harness.halted.is_empty());
}

#[test]
fn tasks_stay_where_the_time_left_is_not_told() {
    let (mut harness, leaving, _, _) = running(100, 5_000);
    harness.announce_end(&leaving, None);
    harness.advance(300);
    assert!(harness.halted.is_empty());
}

#[test]
fn tasks_stay_without_the_mechanism() {
    let (mut harness, leaving, _, _) = running(100, 5_000);
    let mechanisms = Mechanisms::without("leaving").unwrap();
    let scheduler = std::mem::replace(&mut harness.scheduler, Scheduler::new());
    harness.scheduler = scheduler.with_mechanisms(mechanisms);
    harness.announce_end(&leaving, Some(300));
    harness.advance(300);
    assert!(harness.halted.is_empty());
}

#[test]
fn a_repeated_notice_stops_a_task_once() {
    let (mut harness, leaving, _, attempt) = running(100, 5_000);
    for left in [300, 250, 200] {
        harness.announce_end(&leaving, Some(left));
        harness.advance(50);
    }
    assert_eq!(harness.halted, [attempt]);
}

#[test]
fn a_shortened_notice_moves_what_could_have_ended() {
    let (mut harness, leaving, _, attempt) = running(100, 5_000);
    harness.announce_end(&leaving, Some(3_000));
    harness.advance(40);
    assert!(harness.halted.is_empty());
    harness.announce_end(&leaving, Some(250));
    harness.advance(40);
    assert_eq!(harness.halted, [attempt]);
}

#[test]
fn a_notice_without_a_time_keeps_the_one_that_was_told() {
    let (mut harness, leaving, _, attempt) = running(100, 5_000);
    harness.announce_end(&leaving, Some(300));
    harness.announce_end(&leaving, None);
    harness.advance(20);
    assert_eq!(harness.halted, [attempt]);
}

#[test]
fn a_new_life_withdraws_the_notice() {
    let (mut harness, leaving, _, _) = running(100, 5_000);
    harness.announce_end(&leaving, Some(300));
    harness.announce(&leaving, "u-next", false);
    harness.advance(300);
    assert!(harness.halted.is_empty());
}

#[test]
fn a_life_that_leaves_without_a_time_does_not_inherit_one() {
    let (mut harness, leaving, _, _) = running(100, 5_000);
    harness.announce_end(&leaving, Some(300));
    harness.announce(&leaving, "u-next", true);
    harness.advance(300);
    assert!(harness.halted.is_empty());
}

#[test]
fn a_task_whose_agent_is_lost_while_it_is_stopped_starts_elsewhere_once_it_must_have_ended() {
    let (mut harness, leaving, other, _) = running(100, 8_000);
    harness.announce_end(&leaving, Some(300));
    harness.advance(20);
    harness.scheduler.unlink(&leaving);
    harness.advance(1_150);
    assert!(harness.placed.is_empty());
    harness.advance(100);
    assert_eq!(harness.places(), [(other, 2)]);
}

#[test]
fn a_lost_order_to_stop_is_repeated_on_the_next_link() {
    let (mut harness, leaving, _, attempt) = running(100, 5_000);
    harness.announce_end(&leaving, Some(300));
    harness.advance(20);
    harness.scheduler.unlink(&leaving);
    harness
        .scheduler
        .link(&leaving, &"dc-1".into(), harness.now);
    harness.deliver(&leaving, Message::Held(vec![attempt]));
    assert_eq!(harness.halted, [attempt, attempt]);
    assert!(harness.placed.is_empty());
}

#[test]
fn a_result_that_arrives_while_the_task_is_being_moved_counts() {
    let (mut harness, leaving, _, attempt) = running(100, 5_000);
    harness.announce_end(&leaving, Some(300));
    harness.advance(20);
    harness.report_at(&leaving, attempt, Outcome::Done);
    assert_eq!(harness.answer(1), Some(Answer::Completed));
    assert!(harness.placed.is_empty());
}

#[test]
fn a_task_is_moved_only_once_there_is_room() {
    let (mut harness, leaving, _, attempt) = running(100, 5_000);
    harness.report_full();
    harness.announce_end(&leaving, Some(400));
    harness.advance_full(40);
    assert!(harness.halted.is_empty());
    harness.advance(20);
    assert_eq!(harness.halted, [attempt]);
}

#[test]
fn a_caller_who_cannot_be_served_either_way_is_told_at_once_that_it_may_have_run() {
    let (mut harness, leaving, _, _) = running(600, 1_300);
    harness.announce_end(&leaving, Some(50));
    harness.advance(20);
    assert_eq!(harness.answer(1), Some(Answer::GivenUp));
}
