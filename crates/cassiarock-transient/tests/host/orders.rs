//! Orders, and what may be wrong with them.

use crate::world::{World, entry, held, ms};
use cassiarock_transient::Message;
use cassiarock_transient::host::{Action, StartResponse};
use cassiarock_transient::message::Outcome;
use cassiarock_transient::timing::CONTACT_TIMEOUT;

#[test]
fn a_task_that_ended_is_told_to_its_entry_with_the_room_left() {
    let mut world = World::new();
    world.order(1, "j", 1);
    let (task, _) = world.starts[0].clone();
    world.answer(&task, StartResponse::Started);
    assert_eq!(world.host.attempt_count(), 1);
    world.observe(&[], &[(1, "j", 1, Outcome::Done)]);
    assert_eq!(world.end_of(1), Some(Outcome::Done));
    assert_eq!(world.load.free.cpu, 10_000);
}

#[test]
fn what_does_not_fit_is_turned_away_and_not_ordered() {
    let mut world = World::new();
    for number in 0..11 {
        world.order(1, &format!("j-{number}"), 1);
    }
    assert_eq!(world.starts.len(), 10);
    let full = world.results.iter();
    let full = full.filter(|(_, result)| result.outcome == Outcome::Full);
    assert_eq!(full.count(), 1);
}

// An agent froze with an order unread in its socket. When it woke seconds later it carried the
// order out, though its entry had long started the task elsewhere: the task ran twice.
#[test]
fn an_order_that_waited_while_the_agent_was_frozen_is_void() {
    let mut world = World::new();
    let before = world.now;
    world.now += CONTACT_TIMEOUT;
    world.order_after(1, "j", 1, before);
    assert!(world.starts.is_empty());
    assert_eq!(world.end_of(1), Some(Outcome::Stale));
}

// The upstream left an order unanswered and carried it out four seconds later, when the task
// ran elsewhere. The order is named a point in time after which it is void, and is stopped at
// once, which forbids it to start: then its entry need not wait.
#[test]
fn an_unanswered_order_is_stopped_and_its_entry_told_that_it_never_ran() {
    let mut world = World::new();
    world.order(1, "j", 1);
    let (task, until) = world.starts[0].clone();
    assert!(until <= world.clock() + 1_000, "void within a lease");
    world.now += ms(40);
    world.answer(&task, StartResponse::NoResponse);
    assert_eq!(world.stops, std::slice::from_ref(&task));
    assert_eq!(world.end_of(1), None, "it may run yet");
    let actions = world.stopped(&task);
    assert_eq!(actions, [Action::Poll]);
    world.observe(&[], &[]);
    assert_eq!(world.end_of(1), Some(Outcome::Refused));
    assert_eq!(world.host.attempt_count(), 0);
}

#[test]
fn a_stop_that_is_not_confirmed_is_ordered_again() {
    let mut world = World::new();
    world.order(1, "j", 1);
    let (task, _) = world.starts[0].clone();
    world.answer(&task, StartResponse::NoResponse);
    world.pass(250);
    assert!(world.stops.len() >= 2, "{:?}", world.stops.len());
    assert_eq!(world.end_of(1), None);
}

// A caller's connection broke, and it sent its job to another entry while the first one's task
// was still running here: two runs of one task, and a parent charged twice.
#[test]
fn a_task_of_a_job_that_was_submitted_again_waits_for_the_earlier_ones_end() {
    let mut world = World::new();
    world.link(2);
    world.order(1, "j", 1);
    let (task, _) = world.starts[0].clone();
    world.answer(&task, StartResponse::Started);
    world.order(2, "j", 1);
    assert_eq!(world.starts.len(), 1);
    assert_eq!(world.stops, [task]);
    let (to, result) = world.results[0].clone();
    assert_eq!((to, result.outcome), (entry(2), Outcome::Busy));
}

#[test]
fn a_task_nobody_waits_for_is_stopped() {
    let mut world = World::new();
    world.order(1, "j", 1);
    let actions = world.host.handle_halt(&entry(1), &[held(1)], world.now);
    world.take(actions);
    assert_eq!(world.stops.len(), 1);
    let actions = world.host.handle_halt(&entry(1), &[held(1)], world.now);
    world.take(actions);
    assert_eq!(world.stops.len(), 1, "once");
}

// An order was carried out late, after its agent had given it up: the task ran, asked for by
// nobody.
#[test]
fn what_runs_unasked_is_stopped() {
    let mut world = World::new();
    world.observe(&[("stranger", 3)], &[]);
    assert_eq!(world.stops.len(), 1);
    assert_eq!(&*world.stops[0].job, "stranger");
}

// An order was on its way when the data centre began to be emptied, from an entry that had not
// heard of it. Its tasks started there.
#[test]
fn a_data_centre_that_is_emptied_starts_nothing_and_lets_end_what_runs() {
    let mut world = World::new();
    world.order(1, "running", 1);
    let actions = world.host.set_evacuated(true);
    let told = actions.iter().any(|action| {
        matches!(action, Action::Send(_, Message::Upstream(Some(upstream))) if upstream.is_leaving)
    });
    assert!(told, "{actions:?}");
    world.order(1, "late", 2);
    assert_eq!(world.end_of(2), Some(Outcome::Closed));
    assert_eq!(world.starts.len(), 1);
    assert!(world.stops.is_empty());
    world.host.set_evacuated(false);
    world.order(1, "later", 3);
    assert_eq!(world.starts.len(), 2);
}

// Ten tasks of several entries were lost with one upstream. Each entry sent its own to the emptiest
// upstream that it knew, which was the same for all: the one that had crashed the first crashed
// them all once more, and all were given up.
#[test]
fn suspects_of_one_loss_do_not_meet_again_though_entries_know_nothing_of_each_other() {
    let mut world = World::new();
    world.link(2);
    world.suspect = Some("agent-7".into());
    world.order(1, "j", 1);
    world.order(2, "k", 2);
    assert_eq!(world.end_of(2), Some(Outcome::Refused));
    world.suspect = Some("agent-8".into());
    world.order(2, "l", 3);
    world.suspect = None;
    world.order(2, "m", 4);
    assert_eq!(world.starts.len(), 3, "others run there");
    world.observe(&[], &[(1, "j", 1, Outcome::Done)]);
    world.suspect = Some("agent-7".into());
    world.order(2, "k", 5);
    assert_eq!(world.starts.len(), 4);
}
