//! Which leases are renewed while tasks are to end.

use crate::harness::{Harness, attempt_id, entry, ms};
use cassiarock_transient::host::StartResponse;
use cassiarock_transient::message::Outcome;
use cassiarock_transient::timing::{CONTACT_TIMEOUT, LEASE, RECLAIM_DELAY, STOP_MARGIN};
use std::time::Duration;

/// Entry 1 gives the task up.
fn halt(harness: &mut Harness) {
    let actions = harness
        .host
        .handle_halt(&entry(1), &[attempt_id(1)], harness.now);
    harness.apply(actions);
}

/// The agent polls every 40 ms while both entries send heartbeats and the upstream runs `running` until
/// the leases have lapsed. Returns when the last lease was asked for that ends later than all before.
fn last_renewal(harness: &mut Harness, millis: u64, running: &[(&str, u32)]) -> Option<Duration> {
    let (mut last, mut latest) = (None, harness.clock() + 600);
    for _ in 0..millis / 40 {
        harness.now += ms(40);
        for number in 1..3 {
            harness.host.record_echo(&entry(number), harness.now);
        }
        harness.poll();
        if let Some(until) = harness.host.renew_leases(harness.now)
            && until > latest
        {
            (last, latest) = (Some(harness.now), until);
        }
        let has_lapsed = harness.clock() > latest;
        harness.observe(if has_lapsed { &[] } else { running }, &[]);
        if has_lapsed {
            break;
        }
    }
    last
}

// Guards against a task that outlives its stop: its caller submitted it again after a 504, and it ran
// twice, as the lease of the first run was renewed on and on.
#[test]
fn a_task_whose_stops_get_no_answer_loses_its_lease_before_it_may_start_elsewhere() {
    let mut harness = Harness::running();
    harness.link(2);
    harness.observe(&[("j", 1)], &[]);
    let given_up = harness.now;
    halt(&mut harness);
    let last = last_renewal(&mut harness, 2_000, &[("j", 1)]).unwrap();
    assert!(last > given_up, "the stop has time to be answered");
    assert!(last + LEASE + STOP_MARGIN <= given_up + RECLAIM_DELAY);
}

// The message by which the entry gave the task up was on its way for 300 ms.
#[test]
fn the_time_of_a_late_halt_counts_from_the_contact_before_it() {
    let mut harness = Harness::running();
    harness.observe(&[("j", 1)], &[]);
    harness.host.record_echo(&entry(1), harness.now);
    let given_up = harness.now;
    harness.now += ms(300);
    halt(&mut harness);
    let last = last_renewal(&mut harness, 2_000, &[("j", 1)]).unwrap();
    assert!(last + LEASE + STOP_MARGIN <= given_up + RECLAIM_DELAY);
}

// Guards against a wide job of an entry that was killed, which was stopped a few tasks at a time.
#[test]
fn leases_are_not_renewed_while_a_task_of_a_lost_entry_is_left() {
    let mut harness = Harness::new();
    harness.link(2);
    harness.order(2, "neighbour", 1);
    harness.order(1, "j", 2);
    let lost = harness.now;
    while harness.now < lost + CONTACT_TIMEOUT {
        harness.now += ms(10);
        harness.host.record_echo(&entry(2), harness.now);
        harness.observe(&[("neighbour", 1), ("j", 2)], &[]);
        harness.poll();
    }
    assert_eq!(harness.stops.len(), 1);
    assert_eq!(harness.host.renew_leases(harness.now), None);
    harness.observe(&[("neighbour", 1)], &[(1, "j", 2, Outcome::Stopped)]);
    assert!(harness.host.renew_leases(harness.now).is_some());
}

// A start extends the leases of all that runs on the upstream, as a poll does.
#[test]
fn starts_extend_no_lease_while_a_task_outlasts_its_entry() {
    let mut harness = Harness::running();
    harness.link(2);
    harness.observe(&[("j", 1)], &[]);
    halt(&mut harness);
    let last = last_renewal(&mut harness, 520, &[("j", 1)]).unwrap();
    let expiry = harness.clock() + 600 - u64::try_from((harness.now - last).as_millis()).unwrap();
    harness.order(2, "k", 2);
    let (_, until) = harness.starts[1].clone();
    assert!(until <= expiry, "{until} {expiry}");
    last_renewal(&mut harness, 320, &[("j", 1), ("k", 2)]);
    harness.order(2, "l", 3);
    assert_eq!(
        harness.outcome_of(3),
        Some(Outcome::Closed),
        "too short a lease"
    );
    assert_eq!(harness.load.free.cpu, 0);
    harness.observe(&[("k", 2)], &[(1, "j", 1, Outcome::Stopped)]);
    harness.order(2, "l", 4);
    assert_eq!(harness.starts.len(), 3);
}

// Guards against innocents: tasks that end with a lease that was withheld have crashed nothing.
#[test]
fn tasks_whose_leases_were_withheld_are_lost_and_not_crashed() {
    let mut harness = Harness::running();
    harness.link(2);
    harness.order(2, "k", 2);
    harness.observe(&[("j", 1), ("k", 2)], &[]);
    halt(&mut harness);
    last_renewal(&mut harness, 600, &[("j", 1), ("k", 2)]);
    for _ in 0..150 {
        harness.now += ms(10);
        harness.host.record_echo(&entry(2), harness.now);
        harness.poll();
    }
    assert_eq!(harness.outcome_of(2), Some(Outcome::Lost));
}

// Guards against tasks that crash one upstream after the other: a task beside them was given up while the
// upstream was away, and they counted as lost.
#[test]
fn tasks_of_an_upstream_that_was_silent_before_leases_were_withheld_have_crashed() {
    let mut harness = Harness::running();
    harness.link(2);
    harness.order(2, "k", 2);
    harness.observe(&[("j", 1), ("k", 2)], &[]);
    halt(&mut harness);
    for _ in 0..150 {
        harness.now += ms(10);
        harness.host.record_echo(&entry(2), harness.now);
        harness.host.renew_leases(harness.now);
        harness.poll();
    }
    assert_eq!(harness.outcome_of(2), Some(Outcome::Crashed));
}

// An order that got no answer is stopped, and so may its stops. It must not keep leases from being
// renewed for longer than it may still be carried out.
#[test]
fn an_order_without_an_answer_is_over_when_its_time_is() {
    let mut harness = Harness::new();
    harness.order(1, "j", 1);
    let (task, until) = harness.starts[0].clone();
    harness.respond_to_start(&task, StartResponse::NoResponse);
    last_renewal(&mut harness, 560, &[]);
    assert_eq!(harness.outcome_of(1), None, "it may run yet");
    last_renewal(&mut harness, 80, &[]);
    assert!(harness.clock() > until);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Refused));
}

/// An agent that has just started, on whose upstream another process of it has left these tasks.
fn restarted(leftover: &[(&str, u32)]) -> Harness {
    let mut harness = Harness::new();
    harness.host = cassiarock_transient::Host::new();
    harness.report("u-1", 1);
    harness.observe(leftover, &[]);
    harness.link(1);
    harness
}

// Guards against leases that a restarted agent renews: its entries count on those of the process that
// died, and had started the tasks elsewhere while they ran on.
#[test]
fn a_restarted_agent_renews_no_lease_while_an_earlier_process_has_left_tasks() {
    let left: Vec<(&str, u32)> = (1..200).map(|attempt| ("left", attempt)).collect();
    let mut harness = restarted(&left);
    for _ in 0..50 {
        harness.now += ms(40);
        harness.poll();
        assert_eq!(harness.host.renew_leases(harness.now), None);
        harness.observe(&left, &[]);
    }
    harness.observe(&[], &[]);
    assert!(harness.host.renew_leases(harness.now).is_some());
}

// Guards against stops without number: one for each task with each poll took 235 MB.
#[test]
fn stops_of_tasks_that_run_unasked_are_ordered_a_few_at_a_time() {
    let left: Vec<(&str, u32)> = (1..860).map(|attempt| ("left", attempt)).collect();
    let mut harness = restarted(&left);
    for _ in 0..25 {
        harness.now += ms(40);
        harness.observe(&left, &[]);
    }
    assert!(
        (40..=100).contains(&harness.stops.len()),
        "{}",
        harness.stops.len()
    );
    let mut stopped = harness.stops.clone();
    stopped.sort();
    stopped.dedup();
    assert_eq!(stopped.len(), harness.stops.len(), "all others first");
}

// An order that is carried out late runs unasked, on an upstream that is in use.
#[test]
fn a_task_that_runs_unasked_keeps_leases_from_being_renewed() {
    let mut harness = Harness::running();
    harness.observe(&[("j", 1)], &[]);
    harness.now += ms(40);
    harness.observe(&[("j", 1), ("late", 3)], &[]);
    assert_eq!(harness.host.renew_leases(harness.now), None);
    let asked = harness.now;
    harness.now += ms(40);
    harness.poll_answered(
        &harness.incarnation(),
        asked - ms(1),
        harness.clock(),
        &[("j", 1)],
    );
    assert_eq!(
        harness.host.renew_leases(harness.now),
        None,
        "an older list"
    );
    harness.observe(&[("j", 1)], &[]);
    assert!(harness.host.renew_leases(harness.now).is_some());
    assert_eq!(harness.outcome_of(1), None);
}
