//! Shares of the free room that an agent deals to its entries.

use crate::harness::{Harness, entry, ms};
use cassiarock_id::Process;
use cassiarock_transient::host::Action;
use cassiarock_transient::message::{CapacityRequest, Load, Outcome};
use cassiarock_transient::{Message, Resources};

/// The load that each entry was last told, with its number.
fn loads(actions: &[Action]) -> Vec<(u64, Load)> {
    let number = |to: &Process| (1..9).find(|number| entry(*number) == *to);
    let sent = actions.iter();
    let loads = sent.filter_map(|action| match action {
        Action::Send(to, Message::AgentHeartbeat { load, .. } | Message::Ended { load, .. }) => {
            Some((number(to)?, *load))
        }
        _ => None,
    });
    loads.collect()
}

/// The cores that the load lets its entry place on, in thousandths.
fn share(load: &Load) -> u64 {
    load.share.unwrap_or(load.free).cpu
}

fn heartbeat(harness: &mut Harness, number: u64, ask: Option<CapacityRequest>) -> Vec<Action> {
    let message = Message::EntryHeartbeat {
        echo: u64::try_from(harness.now.as_millis()).unwrap(),
        version: 1,
        ask,
        freshness: None,
    };
    harness
        .host
        .handle_message(&entry(number), message, harness.now)
}

/// The loads of the heartbeats that are due 100 ms later, after these entries were heard of.
fn next_loads(harness: &mut Harness, heard: &[u64]) -> Vec<(u64, Load)> {
    harness.now += ms(100);
    harness.observe(&[], &[]);
    for number in heard {
        heartbeat(harness, *number, None);
    }
    loads(&harness.host.poll(harness.now))
}

/// An agent with free room for seven tasks, and one task of each of three entries.
fn three_busy_entries() -> Harness {
    let mut harness = Harness::new();
    harness.link(2);
    harness.link(3);
    for number in 1..=3 {
        harness.order(number, &format!("j-{number}"), 1);
    }
    harness
}

/// An agent whose ten places are taken by entry 1, linked to entries 1 to 3.
fn full_agent() -> Harness {
    let mut harness = Harness::new();
    harness.link(2);
    harness.link(3);
    for number in 0..10 {
        harness.order(1, &format!("j-{number}"), 1);
    }
    harness
}

fn request() -> CapacityRequest {
    CapacityRequest {
        is_late: false,
        is_unstarted: true,
        has_waited: false,
        urgency: 0,
        left: ms(100),
        demand: Resources::new(1_000, 64, 0),
        tasks: 1,
    }
}

// Each entry was told all free room as its own. Half of the ordered tasks were turned away.
#[test]
fn shares_of_busy_entries_fit_the_free_room_together() {
    let mut harness = three_busy_entries();
    let told = next_loads(&mut harness, &[1, 2, 3]);
    assert_eq!(told.len(), 3);
    assert!(
        told.iter().all(|(_, load)| share(load) >= 1_000),
        "{told:?}"
    );
    let sum: u64 = told.iter().map(|(_, load)| share(load)).sum();
    assert!(sum <= 7_000, "{told:?}");
    assert!(told.iter().all(|(_, load)| load.free.cpu == 7_000));
}

#[test]
fn freed_room_is_dealt_once() {
    let mut harness = full_agent();
    harness.now += ms(50);
    let told = loads(&harness.end_in_poll(1, "j-0", 1, Outcome::Done));
    let with_room = told.iter().filter(|(_, load)| share(load) > 0);
    assert_eq!(
        with_room.map(|(number, _)| *number).collect::<Vec<_>>(),
        [1]
    );
}

#[test]
fn room_that_was_dealt_and_not_used_is_withdrawn_for_a_request() {
    let mut harness = full_agent();
    harness.end_in_poll(1, "j-0", 1, Outcome::Done);
    harness.now += ms(5);
    let told = loads(&heartbeat(&mut harness, 2, Some(request())));
    let of = |number| told.iter().find(|(to, _)| *to == number).unwrap().1;
    assert!(of(2).is_offered && share(&of(2)) == 1_000, "{told:?}");
    assert_eq!(share(&of(1)), 0);
}

#[test]
fn room_that_was_dealt_just_now_is_not_offered_to_another_entry() {
    let mut harness = full_agent();
    harness.end_in_poll(1, "j-0", 1, Outcome::Done);
    let told = loads(&heartbeat(&mut harness, 2, Some(request())));
    assert!(told.iter().all(|(_, load)| !load.is_offered), "{told:?}");
}

#[test]
fn the_share_of_a_silent_entry_goes_to_the_others_within_400_ms() {
    let mut harness = three_busy_entries();
    for _ in 0..3 {
        next_loads(&mut harness, &[1, 2]);
    }
    let told = next_loads(&mut harness, &[1, 2]);
    for (number, load) in told {
        assert_eq!(share(&load) > 0, number != 3, "entry {number}: {load:?}");
    }
}

#[test]
fn the_share_of_an_entry_whose_link_is_lost_is_free_at_once() {
    let mut harness = three_busy_entries();
    next_loads(&mut harness, &[1, 2, 3]);
    harness.host.unlink(&entry(2));
    harness.host.unlink(&entry(3));
    let told = next_loads(&mut harness, &[1]);
    assert_eq!(share(&told[0].1), 7_000);
}

#[test]
fn a_new_link_starts_without_the_share_of_the_former_one() {
    let mut harness = three_busy_entries();
    next_loads(&mut harness, &[1, 2, 3]);
    harness.host.unlink(&entry(1));
    let told = loads(&harness.host.link(&entry(1), harness.now));
    let others = loads(&harness.host.poll(harness.now + ms(100)));
    let sum: u64 = others.iter().map(|(_, load)| share(load)).sum();
    assert!(share(&told[0].1) <= 7_000 && sum <= 7_000, "{others:?}");
}

#[test]
fn an_entry_of_an_older_build_may_order_beyond_its_share_while_room_is_free() {
    let mut harness = three_busy_entries();
    next_loads(&mut harness, &[1, 2, 3]);
    for number in 0..8 {
        harness.order(2, &format!("k-{number}"), 20 + number);
    }
    assert_eq!(harness.starts.len(), 10);
    assert_eq!(harness.outcome_of(27), Some(Outcome::Full));
}

#[test]
fn the_only_entry_is_told_all_free_room() {
    let mut harness = Harness::new();
    harness.order(1, "j", 1);
    let told = next_loads(&mut harness, &[1]);
    assert_eq!((told[0].1.share, told[0].1.free.cpu), (None, 9_000));
}
