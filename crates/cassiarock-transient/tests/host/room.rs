//! Whom an agent tells of freed room.

use crate::world::{World, entry, ms};
use cassiarock_id::Process;
use cassiarock_transient::host::Action;
use cassiarock_transient::message::{CapacityRequest, Outcome};
use cassiarock_transient::{Message, Resources};

/// The entries that are sent a heartbeat by these actions.
fn told(actions: &[Action]) -> Vec<u64> {
    let beats = actions.iter().filter_map(|action| match action {
        Action::Send(to, Message::AgentHeartbeat { .. }) => Some(to),
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
    let actions = world.end_by_poll(1, "j", 1, Outcome::Done);
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
    let mut all = told(&world.end_by_poll(1, "j", 1, Outcome::Done));
    all.extend(told(&world.end_by_poll(2, "k", 1, Outcome::Done)));
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
    let actions = world.end_by_poll(1, "j", 1, Outcome::Done);
    assert!(told(&actions).is_empty(), "{actions:?}");
}

/// What an entry waits for: one task of a job with this priority that has to start in time.
fn ask(urgency: u32) -> CapacityRequest {
    CapacityRequest {
        is_late: false,
        is_unstarted: true,
        has_waited: false,
        urgency,
        left: ms(100),
        demand: Resources::new(1_000, 64, 0),
        tasks: 1,
    }
}

/// An entry says what it waits for. Gives whom the agent then offers room to.
fn asks(world: &mut World, number: u64, ask: Option<CapacityRequest>) -> Option<Process> {
    let message = Message::EntryHeartbeat {
        echo: u64::try_from(world.now.as_millis()).unwrap(),
        version: 1,
        ask,
    };
    let actions = world
        .host
        .handle_message(&entry(number), message, world.now);
    offered(&actions)
}

fn offered(actions: &[Action]) -> Option<Process> {
    let mut sent = actions.iter();
    sent.find_map(|action| match action {
        Action::Send(to, Message::AgentHeartbeat { load, .. } | Message::Ended { load, .. })
            if load.is_offered =>
        {
            Some(to.clone())
        }
        _ => None,
    })
}

/// An agent whose ten places are taken, with two more entries.
fn full() -> World {
    let mut world = World::new();
    world.link(2);
    world.link(3);
    for number in 0..10 {
        world.order(1, &format!("j-{number}"), 1);
    }
    assert_eq!(world.starts.len(), 10);
    world
}

// Front desks looked seats up at one entry while another one had assignments to place that could
// wait. Whichever heard first of a freed place took it; half of the look-ups came too late.
#[test]
fn freed_room_is_offered_to_the_most_urgent_ask_and_held_against_the_others() {
    let mut world = full();
    asks(&mut world, 2, Some(ask(2)));
    asks(&mut world, 3, Some(ask(0)));
    let actions = world.end_by_poll(1, "j-0", 1, Outcome::Done);
    assert_eq!(offered(&actions), Some(entry(3)));
    world.order(2, "hasty", 1);
    assert_eq!(world.starts.len(), 10);
    world.order(3, "urgent", 1);
    assert_eq!(world.starts.len(), 11);
}

#[test]
fn an_entry_that_passes_leaves_the_room_to_the_next_one() {
    let mut world = full();
    asks(&mut world, 2, Some(ask(2)));
    asks(&mut world, 3, Some(ask(0)));
    world.end_by_poll(1, "j-0", 1, Outcome::Done);
    assert_eq!(asks(&mut world, 3, None), Some(entry(2)));
}

// The entry that was offered room had been killed. Nobody else was given it until the agent
// had missed the entry's heartbeats.
#[test]
fn room_is_offered_to_the_next_entry_if_the_first_one_says_nothing() {
    let mut world = full();
    asks(&mut world, 2, Some(ask(2)));
    asks(&mut world, 3, Some(ask(0)));
    world.end_by_poll(1, "j-0", 1, Outcome::Done);
    world.now += ms(10);
    let actions = world.host.poll(world.now);
    assert_eq!(offered(&actions), Some(entry(2)));
}

#[test]
fn an_ask_that_was_not_repeated_counts_no_more() {
    let mut world = full();
    asks(&mut world, 3, Some(ask(0)));
    world.now += ms(150);
    let actions = world.end_by_poll(1, "j-0", 1, Outcome::Done);
    assert_eq!(offered(&actions), None);
}

// Each heartbeat of an entry with waiting jobs made an agent in an emptied data centre offer room
// that nobody could use, ten times a second and entry.
#[test]
fn an_agent_that_takes_nothing_new_offers_nothing() {
    let mut world = full();
    world.host.set_evacuated(true);
    world.end_by_poll(1, "j-0", 1, Outcome::Done);
    let message = Message::EntryHeartbeat {
        echo: u64::try_from(world.now.as_millis()).unwrap(),
        version: 1,
        ask: Some(ask(0)),
    };
    let actions = world.host.handle_message(&entry(3), message, world.now);
    assert_eq!(actions, []);
}

// Two tasks of a job ended within one poll of their upstream. Their entry was told of both ends in
// one message, with the room as it was after the first: the second place stayed empty until the
// next heartbeat.
#[test]
fn ends_that_are_told_together_come_with_the_room_after_the_last() {
    let mut world = full();
    world.observe(
        &[],
        &[(1, "j-0", 1, Outcome::Done), (2, "j-1", 1, Outcome::Done)],
    );
    assert_eq!(world.load.free.cpu, 2_000);
}
