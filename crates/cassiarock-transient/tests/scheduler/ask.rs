//! Asking agents for room, and using the room they offer.

use crate::harness::{CAPACITY, Harness, agent, ms};
use cassiarock_transient::message::{Load, Upstream};
use cassiarock_transient::scheduler::Action;
use cassiarock_transient::{Message, Resources};

/// The number of tasks in each ask that was sent, in order.
fn asks(actions: &[Action]) -> Vec<u32> {
    let sent = actions.iter();
    let asks = sent.filter_map(|action| match action {
        Action::Send(_, Message::EntryHeartbeat { ask: Some(ask), .. }) => Some(ask.tasks),
        _ => None,
    });
    asks.collect()
}

/// A heartbeat of an agent that holds room for this entry.
fn offer_heartbeat(harness: &Harness, free: Resources) -> Message {
    Message::AgentHeartbeat {
        clock: u64::try_from(harness.now.as_millis()).unwrap(),
        load: Load {
            free,
            is_offered: true,
            slowdown_percent: 100,
            entries: 2,
            ..Load::default()
        },
    }
}

// In a full system, an entry learned of freed room only from the next heartbeat, up to 100 ms
// later. By then other entries had taken the room.
#[test]
fn an_entry_whose_job_finds_no_room_asks_some_agents_for_it() {
    let mut harness = Harness::new(20);
    harness.report_full();
    let job = crate::harness::job(1, 3, 400);
    let class = crate::harness::class();
    let mut actions = harness
        .scheduler
        .submit(1, job, class, ms(3_000), harness.now);
    actions.extend(harness.scheduler.poll(harness.now));
    assert_eq!(asks(&actions), [3, 3, 3], "one agent for each task");
}

// An entry that was offered room had already placed its job elsewhere. The room stayed empty until
// the agent ended the offer by itself.
#[test]
fn an_entry_that_needs_no_room_releases_an_offer_at_once() {
    let mut harness = Harness::new(2);
    let message = offer_heartbeat(&harness, CAPACITY);
    let mut actions = harness
        .scheduler
        .handle_message(&agent(0), message, harness.now);
    actions.extend(harness.scheduler.poll(harness.now));
    let released = actions.iter().any(|action| {
        matches!(action, Action::Send(to, Message::EntryHeartbeat { ask: None, .. }) if *to == agent(0))
    });
    assert!(released, "{actions:?}");
}

#[test]
fn offered_room_is_taken_by_the_job_that_waits() {
    let mut harness = Harness::new(2);
    harness.report_full();
    harness.submit(1, 1, 400, 3_000);
    assert!(harness.placed.is_empty());
    let message = offer_heartbeat(&harness, CAPACITY);
    harness.deliver(&agent(1), message);
    harness.poll();
    assert_eq!(harness.placed.len(), 1);
    assert_eq!(harness.placed[0].agent, agent(1));
}

// Two pools shared the entries. Agents of one pool were asked for room for jobs of the other,
// reserved it, and were told that it was not needed, ten times a second by each entry.
#[test]
fn agents_of_another_pool_are_not_asked() {
    let mut harness = Harness::new(2);
    let other = Upstream {
        id: "u-other".into(),
        started_at: None,
        service: "other".into(),
        capacity: CAPACITY,
        labels: vec![],
        is_leaving: false,
        ..Upstream::default()
    };
    harness.deliver(&agent(1), Message::Upstream(Some(other)));
    harness.report_full();
    let job = crate::harness::job(1, 3, 400);
    let class = crate::harness::class();
    let mut actions = harness
        .scheduler
        .submit(1, job, class, ms(3_000), harness.now);
    actions.extend(harness.scheduler.poll(harness.now));
    harness.now += ms(100);
    actions.extend(harness.scheduler.poll(harness.now));
    let asked = actions.iter().any(|action| {
        matches!(action, Action::Send(to, Message::EntryHeartbeat { ask: Some(_), .. }) if *to == agent(1))
    });
    assert!(!asked, "{actions:?}");
    assert!(!asks(&actions).is_empty());
}
