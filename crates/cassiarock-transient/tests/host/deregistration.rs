//! Deregistrations, which anyone may send.

use crate::harness::Harness;
use cassiarock_transient::Incarnation;
use cassiarock_transient::message::Outcome;

impl Harness {
    fn deregister(&mut self) {
        let id = self.incarnation().id;
        let actions = self.host.deregister(&id);
        self.apply(actions);
    }

    fn refuse_connection(&mut self) {
        let incarnation = self.incarnation();
        let actions = self.host.handle_refused_connection(&incarnation, self.now);
        self.apply(actions);
    }
}

// Another sender's deregistration ended all tasks of an upstream that ran on.
#[test]
fn a_deregistration_ends_nothing_while_the_upstream_answers() {
    let mut harness = Harness::running();
    let polls = harness.polls;
    harness.deregister();
    assert_eq!(harness.polls, polls + 1);
    harness.observe(&[("j", 1)], &[]);
    assert_eq!(harness.outcome_of(1), None);
    harness.order(1, "k", 2);
    assert_eq!(harness.starts.len(), 2);
}

#[test]
fn a_deregistered_upstream_that_accepts_no_connection_has_ended_and_not_crashed() {
    let mut harness = Harness::running();
    harness.deregister();
    harness.refuse_connection();
    assert_eq!(harness.outcome_of(1), Some(Outcome::Lost));
    assert!(harness.host.worker().is_some_and(|worker| worker.is_gone));
}

// A cut may refuse connections while the upstream runs on.
#[test]
fn a_refused_connection_alone_ends_nothing() {
    let mut harness = Harness::running();
    harness.refuse_connection();
    assert_eq!(harness.outcome_of(1), None);
    harness.deregister();
    harness.advance(100);
    harness.report("u-1", 2);
    harness.refuse_connection();
    assert_eq!(harness.outcome_of(1), None, "it has reported since");
}

#[test]
fn the_tasks_of_a_deregistered_upstream_that_falls_silent_have_not_crashed_it() {
    let mut harness = Harness::running();
    harness.observe(&[("j", 1)], &[]);
    harness.deregister();
    harness.advance(1_000);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Lost));
}

#[test]
fn a_deregistration_of_another_upstream_is_ignored() {
    let mut harness = Harness::running();
    let actions = harness.host.deregister("stranger");
    assert!(actions.is_empty());
    let actions = harness
        .host
        .handle_refused_connection(&Incarnation::new("stranger"), harness.now);
    assert!(actions.is_empty());
}
