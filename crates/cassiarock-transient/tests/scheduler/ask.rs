//! Asking agents for room.

use crate::world::{ROOM, World, agent, ms};
use cassiarock_transient::message::{Load, Upstream};
use cassiarock_transient::scheduler::Action;
use cassiarock_transient::{Message, Resources};

/// What agents are asked for, with nobody left out.
fn asks(actions: &[Action]) -> Vec<u32> {
    let sent = actions.iter();
    let asks = sent.filter_map(|action| match action {
        Action::Send(_, Message::EntryHeartbeat { ask: Some(ask), .. }) => Some(ask.tasks),
        _ => None,
    });
    asks.collect()
}

/// A heartbeat of an agent that holds room for this entry.
fn offer(world: &World, free: Resources) -> Message {
    Message::AgentHeartbeat {
        clock: u64::try_from(world.now.as_millis()).unwrap(),
        load: Load {
            free,
            is_offered: true,
            slowdown_percent: 100,
            entries: 2,
            ..Load::default()
        },
    }
}

// All room was taken. An entry heard of what became free only by the next heartbeat, up to a
// tenth of a second later, by when others had taken it.
#[test]
fn an_entry_whose_job_finds_no_room_asks_some_agents_for_it() {
    let mut world = World::new(20);
    world.tell_full();
    let job = crate::world::job(1, 3, 400);
    let class = crate::world::class();
    let mut actions = world.scheduler.submit(1, job, class, ms(3_000), world.now);
    actions.extend(world.scheduler.poll(world.now));
    assert_eq!(asks(&actions), [3, 3, 3], "one agent for each task");
}

// An entry that was offered room had placed its job elsewhere. The room stayed empty until the
// agent ended the offer by itself.
#[test]
fn an_entry_that_needs_no_room_passes_an_offer_at_once() {
    let mut world = World::new(2);
    let message = offer(&world, ROOM);
    let mut actions = world
        .scheduler
        .handle_message(&agent(0), message, world.now);
    actions.extend(world.scheduler.poll(world.now));
    let passed = actions.iter().any(|action| {
        matches!(action, Action::Send(to, Message::EntryHeartbeat { ask: None, .. }) if *to == agent(0))
    });
    assert!(passed, "{actions:?}");
}

#[test]
fn offered_room_is_taken_by_the_job_that_waits() {
    let mut world = World::new(2);
    world.tell_full();
    world.submit(1, 1, 400, 3_000);
    assert!(world.placed.is_empty());
    let message = offer(&world, ROOM);
    world.tell(&agent(1), message);
    world.poll();
    assert_eq!(world.placed.len(), 1);
    assert_eq!(world.placed[0].agent, agent(1));
}

// Two pools shared the entries. Agents of one were asked for room for jobs of the other, held it,
// and were told that it was not needed, ten times a second and entry.
#[test]
fn agents_of_another_pool_are_not_asked() {
    let mut world = World::new(2);
    let other = Upstream {
        id: "u-other".into(),
        started_at: None,
        service: "other".into(),
        capacity: ROOM,
        labels: vec![],
        is_leaving: false,
    };
    world.tell(&agent(1), Message::Upstream(Some(other)));
    world.tell_full();
    let job = crate::world::job(1, 3, 400);
    let class = crate::world::class();
    let mut actions = world.scheduler.submit(1, job, class, ms(3_000), world.now);
    actions.extend(world.scheduler.poll(world.now));
    world.now += ms(100);
    actions.extend(world.scheduler.poll(world.now));
    let asked = actions.iter().any(|action| {
        matches!(action, Action::Send(to, Message::EntryHeartbeat { ask: Some(_), .. }) if *to == agent(1))
    });
    assert!(!asked, "{actions:?}");
    assert!(!asks(&actions).is_empty());
}
