//! Whom an agent tells of freed room.

use crate::world::{World, entry, ms};
use cassiarock_transient::Message;
use cassiarock_transient::host::Action;
use cassiarock_transient::message::End;

/// The entries that are sent a heartbeat by these actions.
fn told(actions: &[Action]) -> Vec<u64> {
    let beats = actions.iter().filter_map(|action| match action {
        Action::Send(to, Message::AgentBeat { .. }) => Some(to),
        _ => None,
    });
    let number = |to: &cassiarock_id::Process| (1..).find(|number| entry(*number) == *to);
    beats.filter_map(number).collect()
}

/// An agent linked to entries 1 to 3, with a task of entry 1.
fn with_three_entries() -> World {
    let mut world = World::new();
    world.link(2);
    world.link(3);
    world.order(1, "j", 1);
    world
}

// A task ended, and only its own entry heard of the room at once; it had nothing to place. Jobs
// of others waited up to a tenth of a second for the agent's next heartbeat beside free room,
// longer than the most urgent ones can.
#[test]
fn one_more_entry_hears_of_freed_room_at_once() {
    let mut world = with_three_entries();
    world.now += ms(50);
    let actions = world.end_by_look(1, "j", 1, End::Done);
    assert_eq!(told(&actions).len(), 1, "{actions:?}");
    assert!(
        !told(&actions).contains(&1),
        "its own entry is told of the end"
    );
}

#[test]
fn entries_hear_of_freed_room_by_turns() {
    let mut world = with_three_entries();
    world.order(1, "k", 1);
    world.now += ms(50);
    let mut all = told(&world.end_by_look(1, "j", 1, End::Done));
    all.extend(told(&world.end_by_look(2, "k", 1, End::Done)));
    all.sort_unstable();
    assert_eq!(all, [2, 3]);
}

// With few entries and many short tasks the agent would say the same again and again.
#[test]
fn an_entry_that_was_told_just_now_is_not_told_again() {
    let mut world = with_three_entries();
    world.now += ms(100);
    world.poll();
    world.now += ms(5);
    let actions = world.end_by_look(1, "j", 1, End::Done);
    assert!(told(&actions).is_empty(), "{actions:?}");
}
