//! Reports of incarnations that the agent does not know, while it knows one.

use crate::harness::{Harness, ms};
use cassiarock_transient::Incarnation;
use cassiarock_transient::message::Outcome;

// One report from another sender ended all tasks of an upstream that ran on.
#[test]
fn a_report_of_an_unknown_sender_ends_nothing_while_the_upstream_rejects_its_id() {
    let mut harness = Harness::running();
    harness.report_falsely(&Incarnation::new("stranger"), 4);
    assert_eq!(harness.incarnation(), Incarnation::new("u-1"));
    assert_eq!(harness.outcome_of(1), None);
    harness.order(1, "k", 2);
    assert_eq!(harness.starts.len(), 2, "it is used as before");
}

// The same with a start time beyond that of the upstream, under its id.
#[test]
fn a_report_with_a_false_later_start_ends_nothing_while_the_upstream_answers() {
    let mut harness = Harness::running();
    let known = Incarnation::new("u-1").with_started_at(Some(1_000));
    harness.report_incarnation(&known, 2);
    harness.report_falsely(&known.clone().with_started_at(Some(2_000)), 1);
    assert_eq!(harness.incarnation(), known);
    assert_eq!(harness.outcome_of(1), None);
    assert!(harness.host.renew_leases(harness.now).is_some());
}

// The verification was rejected by the upstream that is there, and its report never came again.
#[test]
fn a_rejected_report_is_not_polled_for_again() {
    let mut harness = Harness::running();
    harness.report_falsely(&Incarnation::new("stranger"), 4);
    let polls = harness.polls;
    harness.advance(500);
    assert_eq!(harness.polls, polls);
}

// The former incarnation hung with its connections open, and regular polls waited for it.
#[test]
fn the_answer_of_a_new_incarnation_ends_a_silent_one_at_once() {
    let mut harness = Harness::running();
    harness.advance(100);
    harness.report("u-2", 1);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Crashed));
    assert_eq!(harness.incarnation(), Incarnation::new("u-2"));
    harness.order(1, "k", 2);
    assert_eq!(harness.starts.len(), 2, "its answer has shown its room");
}

// The first verification of a new incarnation was left unanswered, and its next report was a
// heartbeat away.
#[test]
fn an_unanswered_verification_is_repeated() {
    let mut harness = Harness::running();
    harness.is_silent = true;
    harness.report("u-2", 1);
    assert!(harness.host.next_poll(harness.now) <= harness.now + ms(20));
    assert_eq!(harness.outcome_of(1), None);
    harness.is_silent = false;
    harness.advance(20);
    assert_eq!(harness.incarnation(), Incarnation::new("u-2"));
}

// The response to a poll from before the report is on its way when the upstream is replaced.
#[test]
fn a_response_to_an_earlier_poll_refutes_no_report() {
    let mut harness = Harness::running();
    let (asked, former) = (harness.now, harness.incarnation());
    harness.now += ms(10);
    harness.is_silent = true;
    harness.report("u-2", 1);
    harness.poll_answered(&former, asked, harness.clock(), &[("j", 1)]);
    harness.is_silent = false;
    harness.advance(20);
    assert_eq!(harness.incarnation(), Incarnation::new("u-2"));
}

// A new incarnation that had seen a higher fence rejected each verification.
#[test]
fn a_rejected_fence_is_raised_for_a_verification() {
    let mut harness = Harness::running();
    harness.is_silent = true;
    harness.report("u-2", 1);
    let fence = harness.host.fence();
    let actions = harness.host.raise_fence(&Incarnation::new("u-2"));
    harness.apply(actions);
    assert!(harness.host.fence() > fence);
}
