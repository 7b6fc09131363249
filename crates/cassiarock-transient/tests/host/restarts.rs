//! Upstreams that start again under the id that they had.

use crate::world::{World, ms};
use cassiarock_transient::Incarnation;
use cassiarock_transient::host::StartResponse;
use cassiarock_transient::message::Outcome;

fn started_at(at: u64) -> Incarnation {
    Incarnation::new("u").with_started_at(Some(at))
}

/// An agent whose upstream started at 1,000, with one task that runs there.
fn running() -> World {
    let mut world = World::new();
    world.report_of(&started_at(1_000), 40);
    world.observe(&[], &[]);
    world.order(1, "j", 1);
    let (task, _) = world.starts[0].clone();
    world.answer(&task, StartResponse::Started);
    world
}

// An upstream crashed and came back under its id. Its reports counted anew from 1 and were
// dropped as old until they passed the former count: a minute without that upstream.
#[test]
fn an_upstream_that_starts_again_under_its_id_is_used_again() {
    let mut world = running();
    world.report_of(&started_at(2_000), 1);
    assert_eq!(
        world.end_of(1),
        Some(Outcome::Crashed),
        "its tasks are placed elsewhere"
    );
    world.observe(&[], &[]);
    world.order(1, "k", 2);
    assert_eq!(world.starts.len(), 2);
}

// The new life numbered its ends from 1 again. The agent asked for ends beyond those of the
// former life, so that the first ones of the new life were never heard of.
#[test]
fn ends_are_counted_anew_in_a_new_life() {
    let mut world = running();
    world.observe(&[], &[(57, "j", 1, Outcome::Done)]);
    assert_eq!(world.host.last_seen_end(world.now), 57);
    world.report_of(&started_at(2_000), 1);
    assert_eq!(world.host.last_seen_end(world.now), 0);
    world.observe(&[], &[]);
    world.order(1, "k", 2);
    world.observe(&[], &[(1, "k", 2, Outcome::Done)]);
    assert_eq!(world.end_of(2), Some(Outcome::Done));
}

// While an upstream was down, polls went unanswered. The first one that the new life answered
// asked it to forget its ends up to the former life's count.
#[test]
fn a_poll_of_an_upstream_that_was_silent_forgets_no_end() {
    let mut world = running();
    world.observe(&[], &[(57, "j", 1, Outcome::Done)]);
    world.pass(400);
    assert_eq!(world.host.last_seen_end(world.now), 0);
    assert_eq!(world.host.renew_leases(world.now), None);
}

// A new life answered a poll before it had reported. It was taken for the old one: its clock
// stood far behind, so that leases were renewed until a time in its far future.
#[test]
fn an_answer_of_a_new_life_ends_the_former_one_and_opens_nothing_before_a_report() {
    let mut world = running();
    world.now += ms(100);
    world.answered(&started_at(2_000), world.now, 7, &[]);
    assert_eq!(world.end_of(1), Some(Outcome::Crashed));
    world.answered(&started_at(2_000), world.now, 8, &[]);
    world.order(1, "k", 2);
    assert_eq!(
        world.end_of(2),
        Some(Outcome::Closed),
        "its room is not known"
    );
    assert!(
        world
            .host
            .renew_leases(world.now)
            .is_some_and(|until| until < 1_000)
    );
    world.report_of(&started_at(2_000), 1);
    world.order(1, "k", 3);
    assert_eq!(world.starts.len(), 2);
}

#[test]
fn held_up_answers_of_a_former_life_change_nothing() {
    let mut world = running();
    let asked = world.now;
    let former = world.incarnation();
    world.now += ms(50);
    world.ahead = 0;
    world.report_of(&started_at(2_000), 1);
    world.observe(&[], &[]);
    world.order(1, "k", 2);
    let (task, _) = world.starts[1].clone();
    world.answer(&task, StartResponse::Started);
    let clock = Some(9_000_000);
    let mut actions =
        world
            .host
            .handle_start_response(&former, &task, StartResponse::Full, clock, world.now);
    actions.extend(
        world
            .host
            .handle_stop_response(&former, &task, clock, world.now),
    );
    world.take(actions);
    world.answered(&former, asked, 9_000_000, &[("j", 1)]);
    world.report_of(&started_at(1_000), 99);
    assert_eq!(world.incarnation(), started_at(2_000));
    assert_eq!(world.end_of(2), None);
    assert!(world.stops.is_empty());
    let renewed = world.host.renew_leases(world.now);
    assert!(
        renewed.is_some_and(|until| until < 9_000_000),
        "{renewed:?}"
    );
}

// A life that nobody had heard of had been and gone while its agent was cut off; its report
// came last, and all that ran in the life after it was given up.
#[test]
fn a_report_of_an_unknown_life_that_started_earlier_is_checked_by_a_poll() {
    let mut world = running();
    world.report_of(&started_at(900), 5);
    assert_eq!(world.incarnation(), started_at(1_000));
    assert_eq!(world.polls, 1);
    world.observe(&[("j", 1)], &[]);
    assert_eq!(world.end_of(1), None);
}

// The clock of an upstream was set back before it started again: its new life looks older than
// the former one.
#[test]
fn a_life_that_starts_earlier_by_its_clock_is_found_by_its_answer() {
    let mut world = running();
    world.now += ms(100);
    world.report_of(&started_at(500), 1);
    let former = world.host.fence();
    world.answered(&started_at(500), world.now, 7, &[]);
    world.report_of(&started_at(500), 2);
    world.answered(&started_at(500), world.now, 8, &[]);
    assert_eq!(world.end_of(1), Some(Outcome::Crashed));
    world.order(1, "k", 2);
    assert_eq!(world.starts.len(), 2);
    assert!(world.host.fence() > former);
}

// A report of another writer named a start far ahead. The upstream's own reports were then
// those of a former life, and the agent never used it again.
#[test]
fn a_false_report_keeps_no_upstream_out_for_good() {
    let mut world = running();
    world.report_of(&started_at(9_000_000), 1);
    world.now += ms(10);
    let clock = world.clock();
    world.answered(&started_at(1_000), world.now, clock, &[]);
    world.report_of(&started_at(1_000), 41);
    world.observe(&[], &[]);
    world.order(1, "k", 2);
    assert_eq!(world.starts.len(), 2);
}

// The same with another id: no answer came under that, only a refusal.
#[test]
fn a_false_report_under_another_id_keeps_no_upstream_out_for_good() {
    let mut world = World::new();
    world.report("stranger", 1);
    let incarnation = world.incarnation();
    let actions = world.host.handle_replacement(&incarnation, world.now);
    world.take(actions);
    world.report("u-1", 2);
    world.observe(&[], &[]);
    world.order(1, "k", 2);
    assert_eq!(world.starts.len(), 1);
}

// Each report replaced what was known of former lives, so that from the second one on a held-up
// report of a former life was taken for a new one.
#[test]
fn former_lives_are_remembered_beyond_the_next_report() {
    let mut world = World::new();
    world.report("u-2", 1);
    world.report("u-2", 2);
    world.report("u-1", 9);
    assert_eq!(world.incarnation(), Incarnation::new("u-2"));
}

// An order was on its way when its upstream crashed. The new life has the id that the order
// names, and carried it out, while its task had been started elsewhere.
#[test]
fn an_order_under_way_to_a_former_life_is_over_only_when_the_new_one_shows_it() {
    let mut world = World::new();
    world.report_of(&started_at(1_000), 40);
    world.observe(&[], &[]);
    world.order(1, "j", 1);
    let asked = world.now;
    world.now += ms(50);
    let fence = world.host.fence();
    world.report_of(&started_at(2_000), 1);
    assert!(
        world.host.fence() > fence,
        "no later order of the former incarnation counts"
    );
    assert_eq!(world.end_of(1), None);
    assert_eq!(world.stops.len(), 1);
    world.answered(&started_at(2_000), asked, 5, &[]);
    assert_eq!(
        world.end_of(1),
        None,
        "that poll may have gone out before the order"
    );
    world.now += ms(5);
    world.answered(&started_at(2_000), world.now, 10, &[("j", 1)]);
    assert_eq!(world.end_of(1), None, "it runs there");
    world.answered(&started_at(2_000), world.now, 11, &[]);
    assert_eq!(world.end_of(1), Some(Outcome::Lost), "it has run");
}

// A former life's deregistration was held up and came when the next one had started under the same
// id: what ran there was given up, and started elsewhere while it ran on.
#[test]
fn a_held_up_deregistration_of_a_former_life_ends_nothing() {
    let mut world = running();
    let actions = world.host.deregister("u", world.now);
    world.take(actions);
    assert_eq!(world.end_of(1), None);
}

// Another agent had known a life of the upstream with a later start. Its fence was higher, and
// nothing that this one ordered was done any more.
#[test]
fn a_fence_that_is_too_low_is_raised() {
    let mut world = running();
    let before = world.host.fence();
    let incarnation = world.incarnation();
    let actions = world.host.raise_fence(&incarnation);
    world.take(actions);
    assert!(world.host.fence() > before);
    let former = world.host.raise_fence(&started_at(7));
    assert!(former.is_empty());
    // A start that lay ten years ahead is reached within a second of polls.
    let ten_years = 10 * 365 * 24 * 3_600_000_u64;
    let tries = (0..).find(|_| {
        world.host.raise_fence(&incarnation);
        world.host.fence() > before + ten_years
    });
    assert!(tries.is_some_and(|tries| tries < 20), "{tries:?}");
}
