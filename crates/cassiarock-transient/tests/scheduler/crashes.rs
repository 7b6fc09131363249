//! Tasks that crash the upstreams that run them.

use crate::world::{ROOM, World, agent, ms};
use cassiarock_id::Process;
use cassiarock_transient::message::{AttemptResult, Load, Message, Outcome};
use cassiarock_transient::scheduler::Answer;
use std::collections::BTreeSet;

/// The upstream of an agent crashes, and is back at once with all its room.
fn crash(world: &mut World, agent: &Process) {
    let (lost, kept): (Vec<_>, Vec<_>) = world
        .placed
        .drain(..)
        .partition(|task| task.agent == *agent);
    world.placed = kept;
    let results = lost.iter().map(|task| AttemptResult {
        attempt: task.attempt,
        outcome: Outcome::Crashed,
        ran: ms(10),
    });
    let message = Message::Ended {
        clock: u64::try_from(world.now.as_millis()).unwrap(),
        results: results.collect(),
        load: Load {
            last_serial: u64::MAX,
            free: ROOM,
            slowdown_percent: 100,
            ..Load::default()
        },
    };
    world.tell(agent, message);
    world.poll();
}

fn place_of(world: &World, number: u64) -> Option<Process> {
    let mut placed = world.placed.iter();
    let found = placed.find(|task| task.attempt.number == number);
    found.map(|task| task.agent.clone())
}

// A task crashed each upstream that started it. It was placed again for as long as its job lived
// and took one upstream after the other down, each with the ten tasks beside it.
#[test]
fn a_task_under_which_two_upstreams_have_crashed_is_given_up() {
    let mut world = World::new(6);
    world.submit(1, 1, 400, 9_000);
    let mut crashed = Vec::new();
    while let Some(agent) = place_of(&world, 1) {
        world.pass(800);
        crash(&mut world, &agent);
        crashed.push(agent);
        assert!(crashed.len() <= 2, "{crashed:?}");
    }
    assert_eq!(world.answer(1), Some(Answer::Failed));
}

// The ten tasks that ran beside it were suspects as well. Put together on one upstream again, all
// of them would have been given up with its next crash.
#[test]
fn no_two_suspects_of_a_crash_run_on_one_upstream_and_the_innocent_ones_end() {
    let mut world = World::new(12);
    let victim = agent(0);
    for number in 1..=100 {
        world.submit(number, 1, 400, 9_000);
    }
    let suspects: BTreeSet<u64> = world
        .placed
        .iter()
        .filter(|task| task.agent == victim)
        .map(|task| task.attempt.number)
        .collect();
    assert!(suspects.len() > 3, "{suspects:?}");
    let culprit = *suspects.first().unwrap();
    for task in world.placed.clone() {
        if task.agent != victim {
            world.end(task.attempt, Outcome::Done);
        }
    }
    crash(&mut world, &victim);
    world.pass(600);
    let places: Vec<Process> = suspects
        .iter()
        .filter_map(|of| place_of(&world, *of))
        .collect();
    let distinct: BTreeSet<&Process> = places.iter().collect();
    assert_eq!(
        (places.len(), distinct.len()),
        (suspects.len(), suspects.len())
    );
    let second = place_of(&world, culprit).unwrap();
    crash(&mut world, &second);
    assert_eq!(world.answer(culprit), Some(Answer::Failed));
    for task in world.placed.clone() {
        world.end(task.attempt, Outcome::Done);
    }
    for innocent in suspects.iter().filter(|number| **number != culprit) {
        assert_eq!(
            world.answer(*innocent),
            Some(Answer::Completed),
            "{innocent}"
        );
    }
}

// A rack lost its power, came back and lost it again. Everything that had run there twice was
// taken for what had crashed it.
#[test]
fn upstreams_that_are_lost_at_one_moment_make_no_task_a_suspect() {
    let mut world = World::new(12);
    world.submit(1, 60, 400, 9_000);
    for _ in 0..3 {
        let rack: BTreeSet<Process> = (0..4).map(agent).collect();
        for lost in &rack {
            crash(&mut world, lost);
        }
        world.pass(600);
    }
    assert_eq!(world.answer(1), None);
    for task in world.placed.clone() {
        world.end(task.attempt, Outcome::Done);
    }
    assert_eq!(world.answer(1), Some(Answer::Completed));
}

// The caller of a job that crashed two upstreams had not heard the answer and sent it again. It
// began to crash upstreams anew.
#[test]
fn a_job_that_comes_again_is_known_by_its_crashes() {
    let mut world = World::new(6);
    world.submit(1, 1, 400, 9_000);
    for _ in 0..2 {
        let agent = place_of(&world, 1).unwrap();
        world.pass(800);
        crash(&mut world, &agent);
    }
    let job = crate::world::job(1, 1, 400);
    world.submit_job(2, job, 9_000);
    assert_eq!(world.answer(2), Some(Answer::Failed));
    assert!(world.placed.is_empty());
}

// A crash left more suspects than there are other upstreams. They ran one after the other, and all
// but the first were late.
#[test]
fn suspects_share_upstreams_only_where_each_has_one_and_wait_for_none() {
    let mut world = World::new(2);
    world.submit(1, 8, 400, 9_000);
    let first = place_of(&world, 1).unwrap();
    let lost = world
        .placed
        .iter()
        .filter(|task| task.agent == first)
        .count();
    crash(&mut world, &first);
    world.pass(50);
    assert_eq!(world.placed.len(), 8);
    let other = world
        .placed
        .iter()
        .filter(|task| task.agent != first)
        .count();
    assert!(
        other > 8 - lost,
        "{lost} were lost, {other} are at the other upstream"
    );
    assert!(other < 8, "the upstream that is back has some as well");
}
