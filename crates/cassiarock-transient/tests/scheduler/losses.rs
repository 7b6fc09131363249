//! Agents that are lost, come back, or keep tasks too long.

use crate::world::{DATA_CENTRE, World, agent, ms};
use cassiarock_transient::message::Outcome;
use cassiarock_transient::scheduler::Answer;
use cassiarock_transient::timing::RECLAIM_DELAY;
use cassiarock_transient::{Message, evacuation};

// A task ran twice at once: its agent was cut off, the entry started it elsewhere at once,
// and the cut-off upstream went on until its lease lapsed.
#[test]
fn a_lost_agents_tasks_start_elsewhere_only_after_they_must_have_ended() {
    let mut world = World::new(2);
    world.submit(1, 1, 400, 5_000);
    let lost = world.placed.remove(0);
    let other = agent(usize::from(lost.agent == agent(0)));
    let heard = world.now;
    world.scheduler.unlink(&lost.agent);
    while world.placed.is_empty() {
        world.now += ms(10);
        world.beat_of(&other, crate::world::ROOM);
        world.poll();
        assert!(world.now < heard + RECLAIM_DELAY + ms(100));
    }
    assert!(
        world.now >= heard + RECLAIM_DELAY,
        "after {:?}",
        world.now - heard
    );
    assert_eq!(world.placed[0].agent, other);
    assert_eq!(world.placed[0].attempt.attempt, 2);
}

// A reset connection cost every task behind it a new start 1.2 s later, though agent and
// upstream were well. The agent names what it still has when it is back.
#[test]
fn tasks_that_an_agent_still_has_after_a_reset_go_on() {
    let mut world = World::new(1);
    world.submit(1, 2, 400, 5_000);
    let there = world.placed[0].clone();
    let lost = world.placed[1].attempt;
    world.scheduler.unlink(&there.agent);
    world.now += ms(100);
    world
        .scheduler
        .link(&there.agent, &DATA_CENTRE.into(), world.now);
    world.placed.retain(|task| task.attempt != lost);
    world.tell(&there.agent, Message::Held(vec![there.attempt]));
    world.beat();
    world.poll();
    let again = world
        .placed
        .iter()
        .find(|task| task.attempt.index == lost.index);
    assert_eq!(again.map(|task| task.attempt.attempt), Some(2));
    world.end(there.attempt, Outcome::Done);
}

// An entry had abandoned a task while its agent's link was down, so the order to stop it was
// lost, and it ran on with nobody waiting.
#[test]
fn what_an_agent_still_has_and_nobody_wants_is_stopped_when_it_is_back() {
    let mut world = World::new(1);
    world.submit(1, 1, 400, 5_000);
    let task = world.placed[0].clone();
    world.scheduler.unlink(&task.agent);
    world.scheduler.abandon(1, "its caller left", world.now);
    world
        .scheduler
        .link(&task.agent, &DATA_CENTRE.into(), world.now);
    world.tell(&task.agent, Message::Held(vec![task.attempt]));
    assert_eq!(world.halted, [task.attempt]);
}

// A frozen entry woke and placed jobs whose callers had long left and had sent them to
// another entry: the tasks ran at both.
#[test]
fn an_entry_that_was_frozen_places_nothing_before_it_has_read_its_sockets() {
    let mut world = World::new(1);
    world.submit(1, 20, 50, 30_000);
    assert_eq!(world.placed.len(), 10);
    world.now += ms(4_000);
    world.beat();
    for task in world.placed.clone() {
        let at = world.placed.iter().position(|t| t.attempt == task.attempt);
        world.placed.remove(at.unwrap());
    }
    world.beat();
    world.poll();
    assert!(world.placed.is_empty());
}

// Its link still looked open, but nothing had come over it for a quarter of a second. Tasks
// that were placed there waited for the connection's end.
#[test]
fn a_quiet_agent_gets_no_tasks() {
    let mut world = World::new(2);
    for _ in 0..30 {
        world.now += ms(10);
        world.beat_of(&agent(1), crate::world::ROOM);
        world.poll();
    }
    world.submit(1, 4, 50, 2_000);
    assert_eq!(world.placed.len(), 4);
    assert!(world.placed.iter().all(|task| task.agent == agent(1)));
}

// One upstream of four failed whatever it was given, at once, so it always had room: it drew
// most of the tasks, and half of all jobs failed.
#[test]
fn an_upstream_that_fails_everything_draws_no_work() {
    let mut world = World::new(4);
    let mut drawn = 0;
    for number in 0..200 {
        world.now += ms(20);
        for other in 0..4 {
            world.beat_with(&agent(other), if other == 0 { 100 } else { 0 });
        }
        world.submit(number + 1, 1, 50, 2_000);
        for task in world.placed.clone() {
            drawn += usize::from(task.agent == agent(0));
            world.end(task.attempt, Outcome::Done);
        }
    }
    assert_eq!(drawn, 0, "of 200 tasks");
}

// An upstream stood still with good reports. Its tasks were waited for to the last.
#[test]
fn tasks_are_moved_away_from_an_upstream_that_keeps_them_too_long() {
    let mut world = World::new(4);
    world.submit(1, 1, 100, 5_000);
    let stuck = world.placed[0].clone();
    for _ in 0..50 {
        world.now += ms(10);
        for other in 0..4 {
            let pace = if agent(other) == stuck.agent {
                400
            } else {
                100
            };
            world.beat_paced(&agent(other), pace);
        }
        world.poll();
    }
    assert_eq!(world.halted, [stuck.attempt]);
    let ending = cassiarock_transient::message::AttemptResult {
        attempt: stuck.attempt,
        outcome: Outcome::Stopped,
        ran: ms(400),
    };
    world.tell_ended(&stuck.agent, ending);
    assert_eq!(world.placed.len(), 1);
    assert_ne!(world.placed[0].agent, stuck.agent);
}

// An agent turned an order away, and took it a moment later. Then its link broke, and on the
// new one it told its last ends again, the old refusal among them. The entry took it for the
// present attempt's: it placed the task a second time while it ran, and called the job not run.
#[test]
fn a_refusal_that_is_told_again_does_not_count_for_the_next_attempt() {
    let mut world = World::new(1);
    world.submit(1, 1, 400, 5_000);
    let first = world.placed[0].attempt;
    let refusal = cassiarock_transient::message::AttemptResult {
        attempt: first,
        outcome: Outcome::Stale,
        ran: ms(0),
    };
    let agent = agent(0);
    world.placed.clear();
    world.tell_ended(&agent, refusal);
    world.pass(50);
    assert_eq!(world.placed.len(), 1, "placed again");
    let second = world.placed[0].attempt;
    world.scheduler.unlink(&agent);
    world.scheduler.link(&agent, &DATA_CENTRE.into(), world.now);
    world.tell(&agent, Message::Held(vec![first, second]));
    world.tell_ended(&agent, refusal);
    world.pass(50);
    assert_eq!(world.placed.len(), 1, "it still runs there");
}

// A third of the upstreams was being emptied, and was still counted as room: jobs were taken in
// for it, waited, and were refused when it was too late to go elsewhere.
#[test]
fn what_is_being_emptied_counts_as_no_room_and_is_used_again_when_that_ends() {
    let mut world = World::new(1);
    world
        .scheduler
        .set_evacuations(evacuation::State::new(3, [DATA_CENTRE.into()]));
    assert_eq!(world.scheduler.open_agent_count(world.now), 0);
    world.submit(1, 2, 100, 3_000);
    assert!(matches!(world.answer(1), Some(Answer::Refused { .. })));
    world
        .scheduler
        .set_evacuations(evacuation::State::new(4, []));
    world.submit(2, 2, 100, 3_000);
    assert_eq!(world.placed.len(), 2);
}

// An agent was restarted in a data centre that was being emptied. Its new link was taken for one
// with room.
#[test]
fn an_agent_that_links_anew_where_all_is_emptied_gets_nothing() {
    let mut world = World::new(0);
    world
        .scheduler
        .set_evacuations(evacuation::State::new(3, [DATA_CENTRE.into()]));
    world.add(agent(1));
    world.beat();
    assert_eq!(world.scheduler.open_agent_count(world.now), 0);
}
