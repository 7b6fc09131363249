//! Notification of entries about freed capacity, and offers of it.

use crate::harness::{Harness, entry, ms};
use cassiarock_id::Process;
use cassiarock_transient::host::Action;
use cassiarock_transient::message::{CapacityRequest, Outcome};
use cassiarock_transient::{Message, Resources};

/// The numbers of the entries that these actions send a heartbeat to.
fn heartbeat_targets(actions: &[Action]) -> Vec<u64> {
    let beats = actions.iter().filter_map(|action| match action {
        Action::Send(to, Message::AgentHeartbeat { .. }) => Some(to),
        _ => None,
    });
    let number = |to: &cassiarock_id::Process| (1..).find(|number| entry(*number) == *to);
    beats.filter_map(number).collect()
}

/// An agent linked to entries 1 to 3, with a task of entry 1.
fn with_three_entries() -> Harness {
    let mut harness = Harness::new();
    harness.link(2);
    harness.link(3);
    harness.order(1, "j", 1);
    harness
}

// When a task ended, only its own entry was notified of the free capacity at once, and it had
// nothing to place. Jobs of other entries waited up to 100 ms for the agent's next heartbeat,
// longer than the most urgent ones can.
#[test]
fn one_more_entry_is_notified_of_freed_capacity_at_once() {
    let mut harness = with_three_entries();
    harness.now += ms(50);
    let actions = harness.end_in_poll(1, "j", 1, Outcome::Done);
    assert_eq!(heartbeat_targets(&actions).len(), 1, "{actions:?}");
    assert!(
        !heartbeat_targets(&actions).contains(&1),
        "its own entry is told of the end"
    );
}

#[test]
fn entries_are_notified_of_freed_capacity_in_turn() {
    let mut harness = with_three_entries();
    harness.order(1, "k", 1);
    harness.now += ms(50);
    let mut all = heartbeat_targets(&harness.end_in_poll(1, "j", 1, Outcome::Done));
    all.extend(heartbeat_targets(&harness.end_in_poll(
        2,
        "k",
        1,
        Outcome::Done,
    )));
    all.sort_unstable();
    assert_eq!(all, [2, 3]);
}

// With few entries and many short tasks, the agent would send the same load again and again.
#[test]
fn an_entry_notified_just_now_is_not_notified_again() {
    let mut harness = with_three_entries();
    harness.now += ms(100);
    harness.poll();
    harness.now += ms(5);
    let actions = harness.end_in_poll(1, "j", 1, Outcome::Done);
    assert!(heartbeat_targets(&actions).is_empty(), "{actions:?}");
}

/// A request for one task of a job with this priority that has to start in time.
fn request(urgency: u32) -> CapacityRequest {
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

/// An entry sends a capacity request. Returns the entry that the agent then offers capacity to.
fn send_request(
    harness: &mut Harness,
    number: u64,
    ask: Option<CapacityRequest>,
) -> Option<Process> {
    let message = Message::EntryHeartbeat {
        echo: u64::try_from(harness.now.as_millis()).unwrap(),
        version: 1,
        ask,
        freshness: None,
    };
    let actions = harness
        .host
        .handle_message(&entry(number), message, harness.now);
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

/// An agent without free capacity, with ten tasks of entry 1, linked to entries 1 to 3.
fn full_agent() -> Harness {
    let mut harness = Harness::new();
    harness.link(2);
    harness.link(3);
    for number in 0..10 {
        harness.order(1, &format!("j-{number}"), 1);
    }
    assert_eq!(harness.starts.len(), 10);
    harness
}

// One entry had urgent look-ups to place while another had jobs that could wait. Whichever heard
// first of free capacity took it, and half of the look-ups came too late.
#[test]
fn freed_capacity_is_held_for_the_most_urgent_request() {
    let mut harness = full_agent();
    send_request(&mut harness, 2, Some(request(2)));
    send_request(&mut harness, 3, Some(request(0)));
    let actions = harness.end_in_poll(1, "j-0", 1, Outcome::Done);
    assert_eq!(offered(&actions), Some(entry(3)));
    harness.order(2, "hasty", 1);
    assert_eq!(harness.starts.len(), 10);
    harness.order(3, "urgent", 1);
    assert_eq!(harness.starts.len(), 11);
}

#[test]
fn a_declined_offer_goes_to_the_next_entry() {
    let mut harness = full_agent();
    send_request(&mut harness, 2, Some(request(2)));
    send_request(&mut harness, 3, Some(request(0)));
    harness.end_in_poll(1, "j-0", 1, Outcome::Done);
    assert_eq!(send_request(&mut harness, 3, None), Some(entry(2)));
}

// The entry that was offered capacity had been killed. No other entry was offered it until the
// agent had missed the heartbeats of the first.
#[test]
fn an_unanswered_offer_goes_to_the_next_entry() {
    let mut harness = full_agent();
    send_request(&mut harness, 2, Some(request(2)));
    send_request(&mut harness, 3, Some(request(0)));
    harness.end_in_poll(1, "j-0", 1, Outcome::Done);
    harness.now += ms(10);
    let actions = harness.host.poll(harness.now);
    assert_eq!(offered(&actions), Some(entry(2)));
}

#[test]
fn a_request_that_was_not_repeated_expires() {
    let mut harness = full_agent();
    send_request(&mut harness, 3, Some(request(0)));
    harness.now += ms(150);
    let actions = harness.end_in_poll(1, "j-0", 1, Outcome::Done);
    assert_eq!(offered(&actions), None);
}

// Each heartbeat of an entry with waiting jobs made an agent in an evacuated data centre offer
// capacity that nobody could use, ten times a second per entry.
#[test]
fn an_agent_that_accepts_no_new_work_offers_nothing() {
    let mut harness = full_agent();
    harness.host.set_evacuated(true);
    harness.end_in_poll(1, "j-0", 1, Outcome::Done);
    let message = Message::EntryHeartbeat {
        echo: u64::try_from(harness.now.as_millis()).unwrap(),
        version: 1,
        ask: Some(request(0)),
        freshness: None,
    };
    let actions = harness.host.handle_message(&entry(3), message, harness.now);
    assert_eq!(actions, []);
}

// Two tasks of a job ended within one poll. Their entry received both results in one message with
// the load after the first one, so that the second slot stayed empty until the next heartbeat.
#[test]
fn results_sent_together_carry_the_load_after_the_last_one() {
    let mut harness = full_agent();
    harness.observe(
        &[],
        &[(1, "j-0", 1, Outcome::Done), (2, "j-1", 1, Outcome::Done)],
    );
    assert_eq!(harness.load.free.cpu, 2_000);
}
