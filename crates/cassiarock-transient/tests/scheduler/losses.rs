//! Agents that are lost or come back, and upstreams that fail or run tasks too long.

use crate::harness::{DATA_CENTRE, Harness, agent, job, ms};
use cassiarock_transient::message::Outcome;
use cassiarock_transient::scheduler::Answer;
use cassiarock_transient::timing::RECLAIM_DELAY;
use cassiarock_transient::{Message, Resources, evacuation};

// A task ran twice at once: its agent was disconnected, the entry started the task elsewhere at
// once, and the first upstream continued until its lease expired.
#[test]
fn a_lost_agents_tasks_start_elsewhere_only_after_they_must_have_ended() {
    let mut harness = Harness::new(2);
    harness.submit(1, 1, 400, 5_000);
    let lost = harness.placed.remove(0);
    let other = agent(usize::from(lost.agent == agent(0)));
    let heard = harness.now;
    harness.scheduler.unlink(&lost.agent);
    while harness.placed.is_empty() {
        harness.now += ms(10);
        harness.heartbeat_of(&other, crate::harness::CAPACITY);
        harness.poll();
        assert!(harness.now < heard + RECLAIM_DELAY + ms(100));
    }
    assert!(
        harness.now >= heard + RECLAIM_DELAY,
        "after {:?}",
        harness.now - heard
    );
    assert_eq!(harness.placed[0].agent, other);
    assert_eq!(harness.placed[0].attempt.attempt, 2);
}

// After a connection reset, every task behind the connection was started again 1.2 s later, though
// agent and upstream were healthy. The agent reports the attempts it still has on its new link.
#[test]
fn tasks_that_an_agent_still_has_after_a_reset_continue() {
    let mut harness = Harness::new(1);
    harness.submit(1, 2, 400, 5_000);
    let kept = harness.placed[0].clone();
    let lost = harness.placed[1].attempt;
    harness.scheduler.unlink(&kept.agent);
    harness.now += ms(100);
    harness
        .scheduler
        .link(&kept.agent, &DATA_CENTRE.into(), harness.now);
    harness.placed.retain(|task| task.attempt != lost);
    harness.deliver(&kept.agent, Message::Held(vec![kept.attempt]));
    harness.heartbeat_all();
    harness.poll();
    let again = harness
        .placed
        .iter()
        .find(|task| task.attempt.index == lost.index);
    assert_eq!(again.map(|task| task.attempt.attempt), Some(2));
    harness.end(kept.attempt, Outcome::Done);
}

// Guards against an order that crosses the list of what the agent holds: it was carried out, and as it was
// missing in the list, its task was placed elsewhere and ran twice.
#[test]
fn nothing_is_placed_on_a_new_link_before_the_agent_has_told_what_it_holds() {
    let mut harness = Harness::new(1);
    let agent = agent(0);
    harness.scheduler.unlink(&agent);
    harness
        .scheduler
        .link(&agent, &DATA_CENTRE.into(), harness.now);
    let mut job = job(1, 1, 400);
    job.stages[0].demand = Resources::default();
    harness.submit_job(1, job, 5_000);
    assert!(harness.placed.is_empty());
    harness.deliver(&agent, Message::Held(vec![]));
    harness.heartbeat_all();
    harness.poll();
    assert_eq!(harness.placed.len(), 1);
    assert_eq!(harness.placed[0].attempt.attempt, 1);
}

// An entry abandoned a job while the link to its agent was down. The order to stop the task was
// lost, and the task ran on with nobody waiting for it.
#[test]
fn abandoned_tasks_are_stopped_when_their_agent_is_back() {
    let mut harness = Harness::new(1);
    harness.submit(1, 1, 400, 5_000);
    let task = harness.placed[0].clone();
    harness.scheduler.unlink(&task.agent);
    harness.scheduler.abandon(1, "its caller left", harness.now);
    harness
        .scheduler
        .link(&task.agent, &DATA_CENTRE.into(), harness.now);
    harness.deliver(&task.agent, Message::Held(vec![task.attempt]));
    assert_eq!(harness.halted, [task.attempt]);
}

// After a freeze, an entry placed jobs whose callers had long left and submitted them to another
// entry, so that the tasks ran twice.
#[test]
fn an_entry_that_was_frozen_places_nothing_before_it_has_read_its_sockets() {
    let mut harness = Harness::new(1);
    harness.submit(1, 20, 50, 30_000);
    assert_eq!(harness.placed.len(), 10);
    harness.now += ms(4_000);
    harness.heartbeat_all();
    for task in harness.placed.clone() {
        let at = harness
            .placed
            .iter()
            .position(|t| t.attempt == task.attempt);
        harness.placed.remove(at.unwrap());
    }
    harness.heartbeat_all();
    harness.poll();
    assert!(harness.placed.is_empty());
}

// A link still looked open, but nothing had arrived over it for a quarter of a second. Tasks that
// were placed on its agent waited until the connection was closed.
#[test]
fn a_quiet_agent_gets_no_tasks() {
    let mut harness = Harness::new(2);
    for _ in 0..30 {
        harness.now += ms(10);
        harness.heartbeat_of(&agent(1), crate::harness::CAPACITY);
        harness.poll();
    }
    harness.submit(1, 4, 50, 2_000);
    assert_eq!(harness.placed.len(), 4);
    assert!(harness.placed.iter().all(|task| task.agent == agent(1)));
}

// One upstream of four failed every task at once, so it always had room. It got most of the tasks,
// and half of all jobs failed.
#[test]
fn an_upstream_that_fails_every_task_gets_none() {
    let mut harness = Harness::new(4);
    let mut placed_on_faulty = 0;
    for number in 0..200 {
        harness.now += ms(20);
        for other in 0..4 {
            harness.heartbeat_failing(&agent(other), if other == 0 { 100 } else { 0 });
        }
        harness.submit(number + 1, 1, 50, 2_000);
        for task in harness.placed.clone() {
            placed_on_faulty += usize::from(task.agent == agent(0));
            harness.end(task.attempt, Outcome::Done);
        }
    }
    assert_eq!(placed_on_faulty, 0, "of 200 tasks");
}

// An upstream stood still but reported that it was healthy. The entry waited for its tasks until
// their callers left.
#[test]
fn tasks_are_moved_away_from_an_upstream_that_runs_them_too_long() {
    let mut harness = Harness::new(4);
    harness.submit(1, 1, 100, 5_000);
    let stuck = harness.placed[0].clone();
    for _ in 0..50 {
        harness.now += ms(10);
        for other in 0..4 {
            let pace = if agent(other) == stuck.agent {
                400
            } else {
                100
            };
            harness.heartbeat_paced(&agent(other), pace);
        }
        harness.poll();
    }
    assert_eq!(harness.halted, [stuck.attempt]);
    let ending = cassiarock_transient::message::AttemptResult {
        attempt: stuck.attempt,
        outcome: Outcome::Stopped,
        ran: ms(400),
    };
    harness.report_ending(&stuck.agent, ending);
    assert_eq!(harness.placed.len(), 1);
    assert_ne!(harness.placed[0].agent, stuck.agent);
}

// An agent refused an order and accepted it shortly after. Then its link broke, and on the new one
// it reported its latest ends again, among them the old refusal. The entry took that for the end of
// the running attempt: it placed the task a second time beside it, and answered that the job had
// not run.
#[test]
fn a_refusal_that_is_reported_again_does_not_count_for_the_next_attempt() {
    let mut harness = Harness::new(1);
    harness.submit(1, 1, 400, 5_000);
    let first = harness.placed[0].attempt;
    let refusal = cassiarock_transient::message::AttemptResult {
        attempt: first,
        outcome: Outcome::Stale,
        ran: ms(0),
    };
    let agent = agent(0);
    harness.placed.clear();
    harness.report_ending(&agent, refusal);
    harness.advance(50);
    assert_eq!(harness.placed.len(), 1, "placed again");
    let second = harness.placed[0].attempt;
    harness.scheduler.unlink(&agent);
    harness
        .scheduler
        .link(&agent, &DATA_CENTRE.into(), harness.now);
    harness.deliver(&agent, Message::Held(vec![first, second]));
    harness.report_ending(&agent, refusal);
    harness.advance(50);
    assert_eq!(harness.placed.len(), 1, "it still runs there");
}

// A third of the upstreams was being evacuated but still counted as room. Jobs were admitted for
// them, waited, and were refused when it was too late to submit them elsewhere.
#[test]
fn an_evacuated_data_centre_has_no_room_and_is_used_again_afterwards() {
    let mut harness = Harness::new(1);
    harness
        .scheduler
        .set_evacuations(evacuation::State::new(3, [DATA_CENTRE.into()]));
    assert_eq!(harness.scheduler.open_agent_count(harness.now), 0);
    harness.submit(1, 2, 100, 3_000);
    assert!(matches!(harness.answer(1), Some(Answer::Refused { .. })));
    harness
        .scheduler
        .set_evacuations(evacuation::State::new(4, []));
    harness.submit(2, 2, 100, 3_000);
    assert_eq!(harness.placed.len(), 2);
}

// An agent was restarted in a data centre under evacuation, and counted as room on its new link.
#[test]
fn an_agent_that_links_in_an_evacuated_data_centre_gets_no_tasks() {
    let mut harness = Harness::new(0);
    harness
        .scheduler
        .set_evacuations(evacuation::State::new(3, [DATA_CENTRE.into()]));
    harness.add_agent(agent(1));
    harness.heartbeat_all();
    assert_eq!(harness.scheduler.open_agent_count(harness.now), 0);
}
