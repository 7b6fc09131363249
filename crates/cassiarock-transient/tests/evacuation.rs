//! The state of the operators' evacuation orders.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_transient::evacuation::State;

// An entry that the store had rejected for seconds passed on an old state. The evacuation had been
// revoked meanwhile, and all processes that received the state began it again.
#[test]
fn a_state_that_is_older_changes_nothing() {
    let mut state = State::new(9, []);
    assert_eq!(state.adopt(&State::new(8, ["dc-1".into()])), None);
    assert!(!state.contains("dc-1"));
}

#[test]
fn an_order_that_is_missing_from_a_newer_state_has_ended() {
    let mut state = State::new(4, ["dc-1".into(), "dc-2".into()]);
    let change = state.adopt(&State::new(9, ["dc-2".into(), "dc-3".into()]));
    let change = change.unwrap();
    assert_eq!(change.begun, ["dc-3".into()]);
    assert_eq!(change.ended, ["dc-1".into()]);
}

// The pages of newest records are not an atomic snapshot: a record that was written between two
// pages is on the later page, and is read again with the records that follow.
#[test]
fn a_record_that_is_already_applied_may_be_read_again() {
    let mut state = State::new(4, ["dc-1".into()]);
    state.apply(4, "dc-1".into(), true);
    state.apply(5, "dc-1".into(), false);
    assert!(!state.contains("dc-1"));
    state.apply(4, "dc-1".into(), true);
    assert!(!state.contains("dc-1"));
}
