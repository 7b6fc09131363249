//! Placing within the share that an agent has dealt.

use crate::harness::{CAPACITY, Harness, TASK_DEMAND, agent, ms};
use cassiarock_transient::message::Load;
use cassiarock_transient::{Message, Resources};

/// A load with room for five tasks, a share of one, and eight linked entries.
fn contended() -> Load {
    Load {
        free: Resources::new(5_000, 1_000, 0),
        share: Some(TASK_DEMAND),
        slowdown_percent: 100,
        entries: 8,
        ..Load::default()
    }
}

fn tell(harness: &mut Harness, load: Load) {
    let clock = u64::try_from(harness.now.as_millis()).unwrap();
    harness.deliver(&agent(0), Message::AgentHeartbeat { clock, load });
}

fn placed_of_three(load: Load) -> usize {
    let mut harness = Harness::new(1);
    tell(&mut harness, load);
    harness.submit(1, 3, 400, 3_000);
    harness.placed.len()
}

#[test]
fn tasks_are_placed_within_the_share() {
    assert_eq!(placed_of_three(contended()), 1);
}

#[test]
fn with_room_for_a_task_of_each_entry_the_share_does_not_bind() {
    let load = Load {
        entries: 5,
        ..contended()
    };
    assert_eq!(placed_of_three(load), 3);
}

#[test]
fn a_load_of_an_older_agent_deals_all_free_room() {
    let mut json = serde_json::to_value(contended()).unwrap();
    json.as_object_mut().unwrap().remove("share");
    assert_eq!(placed_of_three(serde_json::from_value(json).unwrap()), 3);
}

#[test]
fn a_load_that_arrives_twice_deals_its_share_once() {
    let mut harness = Harness::new(1);
    tell(&mut harness, contended());
    harness.submit(1, 3, 400, 3_000);
    tell(&mut harness, contended());
    harness.poll();
    assert_eq!(harness.placed.len(), 1);
}

#[test]
fn a_share_of_a_former_link_is_void() {
    let mut harness = Harness::new(1);
    tell(&mut harness, contended());
    harness.scheduler.unlink(&agent(0));
    harness
        .scheduler
        .link(&agent(0), &"dc-1".into(), harness.now);
    harness.submit(1, 1, 400, 3_000);
    assert!(harness.placed.is_empty());
}

#[test]
fn a_lost_load_is_made_up_for_by_the_next_one() {
    let mut harness = Harness::new(1);
    let none = Load {
        share: Some(Resources::default()),
        ..contended()
    };
    tell(&mut harness, none);
    harness.submit(1, 1, 400, 3_000);
    assert!(harness.placed.is_empty());
    harness.now += ms(100);
    harness.heartbeat_of(&agent(0), CAPACITY);
    harness.poll();
    assert_eq!(harness.placed.len(), 1);
}
