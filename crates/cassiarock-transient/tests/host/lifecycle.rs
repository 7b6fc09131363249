//! Lives of the upstream, and entries that come and go.

use crate::world::{World, entry, ms};
use cassiarock_transient::Message;
use cassiarock_transient::host::{Action, StartResponse, Worker};
use cassiarock_transient::message::Outcome;
use cassiarock_transient::timing::{CONTACT_TIMEOUT, LEASE};

fn running(world: &mut World) {
    world.order(1, "j", 1);
    let (task, _) = world.starts[0].clone();
    world.answer(&task, StartResponse::Started);
}

// An upstream crashed and was back at the same address within a second. Its tasks were waited
// for until their time was over, though everything of the former life was gone.
#[test]
fn the_tasks_of_an_upstream_that_restarted_are_lost_at_once() {
    let mut world = World::new();
    running(&mut world);
    world.report("u-2", 1);
    assert_eq!(world.end_of(1), Some(Outcome::Crashed));
}

// A partition held a report up. Its sender had crashed meanwhile and its successor had
// reported; the agent took the old report for a third life and dropped all that ran.
#[test]
fn a_report_of_an_earlier_life_changes_nothing() {
    let mut world = World::new();
    world.report("u-2", 1);
    world.observe(&[], &[]);
    running(&mut world);
    world.report("u-1", 9);
    assert_eq!(world.host.worker().map(|worker| &*worker.id), Some("u-2"));
    assert_eq!(world.end_of(1), None);
}

// A new life of the agent started tasks on an upstream that still ran those of the former
// life, which it knew nothing of.
#[test]
fn a_new_agent_starts_nothing_before_what_its_former_life_left_has_ended() {
    let mut world = World::new();
    world.report("u-2", 1);
    world.observe(&[("left", 1)], &[]);
    assert_eq!(world.stops.len(), 1);
    world.order(1, "j", 1);
    assert_eq!(world.end_of(1), Some(Outcome::Closed));
    world.observe(&[], &[]);
    world.order(1, "j", 2);
    assert_eq!(world.starts.len(), 1);
}

#[test]
fn a_leaving_upstream_gets_nothing_new_and_finishes_what_it_has() {
    let mut world = World::new();
    running(&mut world);
    let actions = world.host.leave();
    world.take(actions);
    world.order(1, "k", 5);
    assert_eq!(world.end_of(5), Some(Outcome::Closed));
    assert!(world.stops.is_empty());
    world.observe(&[], &[(1, "j", 1, Outcome::Done)]);
    assert_eq!(world.end_of(1), Some(Outcome::Done));
}

// An entry died. Its callers sent their jobs to another one 1.3 s later, and met their own
// first submission still running.
#[test]
fn the_tasks_of_an_entry_that_is_out_of_reach_are_stopped() {
    let mut world = World::new();
    running(&mut world);
    world.host.record_echo(&entry(1), world.now);
    world.host.unlink(&entry(1));
    world.now += CONTACT_TIMEOUT - ms(10);
    world.poll();
    assert!(world.stops.is_empty(), "a reset connection costs nothing");
    world.now += ms(10);
    world.poll();
    assert_eq!(world.stops.len(), 1);
}

// The network carried the entry's messages to the agent and none back. The entry gave the
// agent up and started its tasks elsewhere, while the agent heard it well and went on.
#[test]
fn an_entry_that_does_not_hear_the_agent_loses_its_tasks_although_it_speaks() {
    let mut world = World::new();
    running(&mut world);
    let last = world.now;
    for _ in 0..60 {
        world.now += ms(10);
        world.host.record_echo(&entry(1), last);
        world.poll();
        let is_over = world.now >= last + CONTACT_TIMEOUT;
        assert_eq!(!world.stops.is_empty(), is_over, "at {:?}", world.now);
    }
}

// The upstream's VM was cut off from nothing but its agent: it neither answered nor ended.
// What ran there is over once its lease has lapsed, and not before.
#[test]
fn the_tasks_of_a_silent_upstream_are_lost_once_their_leases_have_lapsed() {
    let mut world = World::new();
    running(&mut world);
    world.observe(&[("j", 1)], &[]);
    let renewed = world.now;
    while world.end_of(1).is_none() {
        world.now += ms(10);
        world.host.record_echo(&entry(1), world.now);
        world.host.renew_leases(world.now);
        world.poll();
        assert!(world.now < renewed + ms(2_000));
    }
    assert_eq!(world.end_of(1), Some(Outcome::Crashed));
    assert!(world.now >= renewed + LEASE);
}

// An upstream failed everything for some seconds and was well again. An agent that remembered
// for ever would have kept it out for ever, as it got nothing to prove itself with.
#[test]
fn an_upstream_that_failed_everything_is_tried_anew_after_three_seconds() {
    let mut world = World::new();
    for number in 1..=6 {
        let job = format!("j-{number}");
        world.order(1, &job, 1);
        world.observe(&[], &[(number, &job, 1, Outcome::Failed)]);
    }
    assert_eq!(world.load.failure_percent, 100);
    world.pass(3_200);
    assert_eq!(world.load.failure_percent, 0);
}

// One job could never be done, and failed on whatever upstream it came to. Each of them was
// taken for faulty.
#[test]
fn one_job_that_fails_again_and_again_says_nothing_of_the_upstream() {
    let mut world = World::new();
    for number in 1..=6 {
        let attempt = u32::try_from(number).unwrap();
        world.order(1, "poison", attempt);
        world.observe(&[], &[(number, "poison", attempt, Outcome::Failed)]);
    }
    assert_eq!(world.load.failure_percent, 0);
}

#[test]
fn ends_that_a_broken_link_may_have_lost_are_told_again() {
    let mut world = World::new();
    running(&mut world);
    world.host.unlink(&entry(1));
    world.observe(&[], &[(1, "j", 1, Outcome::Done)]);
    assert_eq!(world.end_of(1), None);
    world.link(1);
    assert_eq!(world.end_of(1), Some(Outcome::Done));
}

// Everything on an upstream stood still, while it reported and answered well. No task ended
// there, so nothing showed, and its entries went on giving it work.
#[test]
fn an_upstream_on_which_tasks_stand_still_shows_as_slow() {
    let mut world = World::new();
    for number in 0..4 {
        world.order(1, &format!("j-{number}"), 1);
    }
    let names = ["j-0", "j-1", "j-2", "j-3"].map(|job| (job, 1));
    world.observe(&names, &[]);
    world.pass(100);
    assert_eq!(world.load.slowdown_percent, 100, "within what was expected");
    for _ in 0..4 {
        world.pass(100);
        world.observe(&names, &[]);
    }
    assert!(
        world.load.slowdown_percent >= 300,
        "{}",
        world.load.slowdown_percent
    );
}

// The link to one entry of many is to be closed. That entry alone must place nothing more
// here: what is on its way when the link closes would be lost for more than a second.
#[test]
fn an_entry_whose_link_is_to_be_closed_is_told_to_place_nothing_here() {
    let mut world = World::new();
    world.link(2);
    let told = |actions: &[Action]| match actions {
        [Action::Send(to, Message::Upstream(Some(upstream)))] => (to.clone(), upstream.is_leaving),
        other => panic!("{other:?}"),
    };
    let actions = world.host.set_retired(&entry(1), true);
    assert_eq!(told(&actions), (entry(1), true));
    let actions = world.host.set_retired(&entry(1), false);
    assert_eq!(told(&actions), (entry(1), false));
}

#[test]
fn an_entry_is_not_told_again_that_it_may_place_here_while_its_link_is_to_be_closed() {
    let mut world = World::new();
    world.host.set_retired(&entry(1), true);
    let actions = world.host.deregister("u-1", world.now);
    world.take(actions);
    let worker = Worker {
        id: "u-2".into(),
        service: "s".into(),
        clock: world.clock(),
        sequence: 1,
        ..Worker::default()
    };
    let actions = world.host.handle_report(worker, world.now);
    let is_leaving = actions.iter().find_map(|action| match action {
        Action::Send(_, Message::Upstream(Some(upstream))) => Some(upstream.is_leaving),
        _ => None,
    });
    assert_eq!(is_leaving, Some(true));
}
