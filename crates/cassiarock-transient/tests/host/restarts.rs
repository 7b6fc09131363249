//! Upstreams that restart under the same id.

use crate::harness::{Harness, ms};
use cassiarock_transient::Incarnation;
use cassiarock_transient::host::StartResponse;
use cassiarock_transient::message::Outcome;

fn started_at(at: u64) -> Incarnation {
    Incarnation::new("u").with_started_at(Some(at))
}

/// An agent whose upstream started at 1,000, with one running task, which a poll has listed.
fn running() -> Harness {
    let mut harness = started();
    harness.observe(&[("j", 1)], &[]);
    harness
}

/// The same before a poll has listed the task: its start has been answered.
fn started() -> Harness {
    let mut harness = Harness::new();
    harness.report_incarnation(&started_at(1_000), 40);
    harness.observe(&[], &[]);
    harness.order(1, "j", 1);
    let (task, _) = harness.starts[0].clone();
    harness.respond_to_start(&task, StartResponse::Started);
    harness
}

// An upstream crashed and came back under its id. Its reports were numbered from 1 again and were
// dropped as old until they passed the previous count, so that the upstream was unused for a
// minute.
#[test]
fn an_upstream_that_restarts_under_its_id_is_used_again() {
    let mut harness = running();
    harness.report_incarnation(&started_at(2_000), 1);
    assert_eq!(
        harness.outcome_of(1),
        Some(Outcome::Crashed),
        "its tasks are placed elsewhere"
    );
    harness.observe(&[], &[]);
    harness.order(1, "k", 2);
    assert_eq!(harness.starts.len(), 2);
}

// The new incarnation numbered its results from 1 again. The agent asked for results beyond those
// of the previous one, and never received the first ones of the new incarnation.
#[test]
fn results_are_numbered_from_one_in_a_new_incarnation() {
    let mut harness = running();
    harness.observe(&[], &[(57, "j", 1, Outcome::Done)]);
    assert_eq!(harness.host.last_seen_end(harness.now), 57);
    harness.report_incarnation(&started_at(2_000), 1);
    assert_eq!(harness.host.last_seen_end(harness.now), 0);
    harness.observe(&[], &[]);
    harness.order(1, "k", 2);
    harness.observe(&[], &[(1, "k", 2, Outcome::Done)]);
    assert_eq!(harness.outcome_of(2), Some(Outcome::Done));
}

// Polls went unanswered while an upstream was down. The first one that the new incarnation answered
// made it drop its results up to the previous incarnation's count.
#[test]
fn a_poll_of_a_silent_upstream_acknowledges_no_result() {
    let mut harness = running();
    harness.observe(&[], &[(57, "j", 1, Outcome::Done)]);
    harness.advance(400);
    assert_eq!(harness.host.last_seen_end(harness.now), 0);
    assert_eq!(harness.host.renew_leases(harness.now), None);
}

// A new incarnation answered a poll before it had reported, and was taken for the old one. Its
// clock was far behind, so that leases were renewed until a time in its far future.
#[test]
fn a_response_of_a_new_incarnation_ends_the_previous_one_and_starts_nothing_before_a_report() {
    let mut harness = running();
    harness.now += ms(100);
    harness.poll_answered(&started_at(2_000), harness.now, 7, &[]);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Crashed));
    harness.poll_answered(&started_at(2_000), harness.now, 8, &[]);
    harness.order(1, "k", 2);
    assert_eq!(
        harness.outcome_of(2),
        Some(Outcome::Closed),
        "its capacity is not known"
    );
    assert!(
        harness
            .host
            .renew_leases(harness.now)
            .is_some_and(|until| until < 1_000)
    );
    harness.report_incarnation(&started_at(2_000), 1);
    harness.order(1, "k", 3);
    assert_eq!(harness.starts.len(), 2);
}

#[test]
fn delayed_responses_of_a_previous_incarnation_are_ignored() {
    let mut harness = running();
    let asked = harness.now;
    let former = harness.incarnation();
    harness.now += ms(50);
    harness.clock_offset_ms = 0;
    harness.report_incarnation(&started_at(2_000), 1);
    harness.observe(&[], &[]);
    harness.order(1, "k", 2);
    let (task, _) = harness.starts[1].clone();
    harness.respond_to_start(&task, StartResponse::Started);
    let clock = Some(9_000_000);
    let mut actions =
        harness
            .host
            .handle_start_response(&former, &task, StartResponse::Full, clock, harness.now);
    actions.extend(
        harness
            .host
            .handle_stop_response(&former, &task, clock, harness.now),
    );
    harness.apply(actions);
    harness.poll_answered(&former, asked, 9_000_000, &[("j", 1)]);
    harness.report_incarnation(&started_at(1_000), 99);
    assert_eq!(harness.incarnation(), started_at(2_000));
    assert_eq!(harness.outcome_of(2), None);
    assert!(harness.stops.is_empty());
    let renewed = harness.host.renew_leases(harness.now);
    assert!(
        renewed.is_some_and(|until| until < 9_000_000),
        "{renewed:?}"
    );
}

// An incarnation that the agent had never seen came and went while the agent was cut off. Its
// report arrived last, and the agent gave up all tasks of the incarnation after it.
#[test]
fn a_report_of_an_unknown_earlier_incarnation_is_checked_by_a_poll() {
    let mut harness = running();
    let polls = harness.polls;
    harness.report_falsely(&started_at(900), 5);
    assert_eq!(harness.incarnation(), started_at(1_000));
    assert_eq!(harness.polls, polls + 1);
    harness.observe(&[("j", 1)], &[]);
    assert_eq!(harness.outcome_of(1), None);
}

// The clock of an upstream was set back before it restarted: its new incarnation looks older than
// the previous one.
#[test]
fn an_incarnation_with_an_earlier_start_time_is_found_by_its_response() {
    let mut harness = running();
    harness.now += ms(100);
    harness.is_silent = true;
    harness.report_incarnation(&started_at(500), 1);
    let former = harness.host.fence();
    harness.poll_answered(&started_at(500), harness.now, harness.clock(), &[]);
    harness.report_incarnation(&started_at(500), 2);
    harness.poll_answered(&started_at(500), harness.now, harness.clock(), &[]);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Crashed));
    harness.order(1, "k", 2);
    assert_eq!(harness.starts.len(), 2);
    assert!(harness.host.fence() > former);
}

// A report from another writer named a start time far in the future. The upstream's own reports
// then counted as those of a previous incarnation, and the agent never used it again.
#[test]
fn a_false_report_does_not_exclude_the_upstream_for_good() {
    let mut harness = running();
    harness.report_falsely(&started_at(9_000_000), 1);
    harness.now += ms(10);
    let clock = harness.clock();
    harness.poll_answered(&started_at(1_000), harness.now, clock, &[]);
    harness.report_incarnation(&started_at(1_000), 41);
    harness.observe(&[], &[]);
    harness.order(1, "k", 2);
    assert_eq!(harness.starts.len(), 2);
}

// The same with a report under another id, under which no poll is answered but rejected.
#[test]
fn a_false_report_under_another_id_does_not_exclude_the_upstream_for_good() {
    let mut harness = Harness::new();
    harness.report_falsely(&Incarnation::new("stranger"), 1);
    harness.report("u-1", 2);
    harness.observe(&[], &[]);
    harness.order(1, "k", 2);
    assert_eq!(harness.starts.len(), 1);
}

// Each report replaced the list of previous incarnations, so that from the second report on a
// delayed report of a previous incarnation was taken for a new one.
#[test]
fn previous_incarnations_are_remembered_beyond_the_next_report() {
    let mut harness = Harness::new();
    harness.report("u-2", 1);
    harness.report("u-2", 2);
    harness.report("u-1", 9);
    assert_eq!(harness.incarnation(), Incarnation::new("u-2"));
}

// An order was in flight when its upstream crashed. The new incarnation has the id that the order
// names and carried it out, while its task had been started elsewhere.
#[test]
fn an_order_in_flight_across_a_restart_ends_only_when_the_new_incarnation_shows_it() {
    let mut harness = Harness::new();
    harness.report_incarnation(&started_at(1_000), 40);
    harness.observe(&[], &[]);
    harness.order(1, "j", 1);
    let asked = harness.now;
    harness.now += ms(50);
    let fence = harness.host.fence();
    harness.report_incarnation(&started_at(2_000), 1);
    assert!(
        harness.host.fence() > fence,
        "later orders of the previous incarnation are void"
    );
    assert_eq!(harness.outcome_of(1), None);
    assert_eq!(harness.stops.len(), 1);
    harness.poll_answered(&started_at(2_000), asked, 5, &[]);
    assert_eq!(
        harness.outcome_of(1),
        None,
        "that poll may have gone out before the order"
    );
    harness.now += ms(5);
    harness.poll_answered(&started_at(2_000), harness.now, 10, &[("j", 1)]);
    assert_eq!(harness.outcome_of(1), None, "it runs there");
    harness.poll_answered(&started_at(2_000), harness.now, 11, &[]);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Lost), "it has run");
}

// An upstream restarted under its id between two polls and carried out an order for its former
// incarnation, which counted as lost with that one while it ran.
#[test]
fn an_order_that_a_restarted_upstream_carries_out_is_not_lost_with_its_former_incarnation() {
    let mut harness = running();
    harness.observe(&[("j", 1)], &[]);
    harness.order(1, "k", 2);
    let (task, _) = harness.starts[1].clone();
    harness.respond_to_start(&task, StartResponse::Started);
    harness.leftover = vec![("k", 2)];
    harness.report_incarnation(&started_at(2_000), 1);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Crashed));
    assert_eq!(harness.outcome_of(2), None, "it runs on");
}

// A start that was answered, and that no poll has listed, ran in the former incarnation if the next
// one does not have it. It may be what crashed the upstream.
#[test]
fn an_answered_start_that_the_next_incarnation_does_not_list_has_crashed() {
    let mut harness = started();
    harness.report_incarnation(&started_at(2_000), 1);
    assert_eq!(harness.outcome_of(1), None, "that incarnation may have it");
    harness.poll_answered(&started_at(2_000), harness.now, 5, &[]);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Crashed));
}

// Guards against a lease by the former clock: the next incarnation ran the task for as long as its stop
// was not confirmed, and the agent ended it by a lease that it had not asked that incarnation for.
#[test]
fn a_task_that_the_next_incarnation_has_begun_ends_only_when_polls_show_it() {
    let mut harness = started();
    harness.leftover = vec![("j", 1)];
    harness.report_incarnation(&started_at(2_000), 1);
    for _ in 0..20 {
        harness.advance(40);
        harness.observe(&[("j", 1)], &[]);
        assert_eq!(harness.outcome_of(1), None, "it runs there");
    }
    let answered = harness.now;
    while harness.outcome_of(1).is_none() {
        harness.advance(10);
    }
    assert!(harness.now > answered + ms(1_000), "the longest lease");
}

// The incarnation that may have the task restarted as well before a poll has shown it.
#[test]
fn a_second_restart_leaves_open_which_incarnation_has_an_answered_start() {
    let mut harness = started();
    harness.report_incarnation(&started_at(2_000), 1);
    harness.now += ms(5);
    harness.poll_answered(&started_at(3_000), harness.now, 5, &[]);
    assert_eq!(harness.outcome_of(1), None);
    harness.poll_answered(&started_at(3_000), harness.now, 6, &[("j", 1)]);
    assert_eq!(harness.outcome_of(1), None, "it runs there");
    harness.poll_answered(&started_at(3_000), harness.now, 7, &[]);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Lost));
}

// The deregistration of a previous incarnation was delayed and came after the next one had started
// under the same id. The running tasks were given up and started elsewhere while they ran on.
#[test]
fn a_delayed_deregistration_of_a_previous_incarnation_ends_nothing() {
    let mut harness = running();
    let actions = harness.host.deregister("u");
    harness.apply(actions);
    let incarnation = harness.incarnation();
    let actions = harness
        .host
        .handle_refused_connection(&incarnation, harness.now);
    harness.apply(actions);
    assert_eq!(harness.outcome_of(1), None);
}

// Another agent had known an incarnation of the upstream with a later start time and used a higher
// fence. The upstream then rejected all orders of this agent.
#[test]
fn a_fence_that_is_too_low_is_raised() {
    let mut harness = running();
    let before = harness.host.fence();
    let incarnation = harness.incarnation();
    let actions = harness.host.raise_fence(&incarnation);
    harness.apply(actions);
    assert!(harness.host.fence() > before);
    let former = harness.host.raise_fence(&started_at(7));
    assert!(former.is_empty());
    // A start time ten years ahead is reached within a second of polls.
    let ten_years = 10 * 365 * 24 * 3_600_000_u64;
    let tries = (0..).find(|_| {
        harness.host.raise_fence(&incarnation);
        harness.host.fence() > before + ten_years
    });
    assert!(tries.is_some_and(|tries| tries < 20), "{tries:?}");
}

// The loss of a replaced upstream was reported together with room on it.
#[test]
fn the_loss_of_a_replaced_upstream_names_no_room() {
    let mut harness = Harness::new();
    harness.order(1, "j", 1);
    let incarnation = harness.incarnation();
    let actions = harness.host.handle_replacement(&incarnation, harness.now);
    harness.apply(actions);
    assert_eq!(harness.outcome_of(1), Some(Outcome::Crashed));
    assert_eq!(
        harness.load.free,
        cassiarock_transient::Resources::default()
    );
}
