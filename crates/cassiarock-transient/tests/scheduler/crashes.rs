//! Tasks that crash their upstreams.

use crate::harness::{CAPACITY, Harness, agent, ms};
use cassiarock_id::Process;
use cassiarock_transient::message::{AttemptResult, Load, Message, Outcome};
use cassiarock_transient::scheduler::Answer;
use std::collections::BTreeSet;

/// Crashes the upstream of an agent. It is back at once with its whole capacity free.
fn crash(harness: &mut Harness, agent: &Process) {
    let (lost, kept): (Vec<_>, Vec<_>) = harness
        .placed
        .drain(..)
        .partition(|task| task.agent == *agent);
    harness.placed = kept;
    let results = lost.iter().map(|task| AttemptResult {
        attempt: task.attempt,
        outcome: Outcome::Crashed,
        ran: ms(10),
    });
    let message = Message::Ended {
        clock: u64::try_from(harness.now.as_millis()).unwrap(),
        results: results.collect(),
        load: Load {
            last_serial: u64::MAX,
            free: CAPACITY,
            slowdown_percent: 100,
            ..Load::default()
        },
    };
    harness.deliver(agent, message);
    harness.poll();
}

fn agent_of(harness: &Harness, number: u64) -> Option<Process> {
    let mut placed = harness.placed.iter();
    let found = placed.find(|task| task.attempt.number == number);
    found.map(|task| task.agent.clone())
}

// A task that crashed each upstream that started it was placed again until its job ended. It
// crashed one upstream after the other, each with the ten tasks beside it.
#[test]
fn a_task_under_which_two_upstreams_have_crashed_is_given_up() {
    let mut harness = Harness::new(6);
    harness.submit(1, 1, 400, 9_000);
    let mut crashed = Vec::new();
    while let Some(agent) = agent_of(&harness, 1) {
        harness.advance(800);
        crash(&mut harness, &agent);
        crashed.push(agent);
        assert!(crashed.len() <= 2, "{crashed:?}");
    }
    assert_eq!(harness.answer(1), Some(Answer::Failed));
}

// The ten tasks that ran beside the crashing one are suspects as well. If they were placed together
// on one upstream again, all of them would be given up with its next crash.
#[test]
fn no_two_suspects_of_a_crash_share_an_upstream_and_only_the_culprit_fails() {
    let mut harness = Harness::new(12);
    let victim = agent(0);
    for number in 1..=100 {
        harness.submit(number, 1, 400, 9_000);
    }
    let suspects: BTreeSet<u64> = harness
        .placed
        .iter()
        .filter(|task| task.agent == victim)
        .map(|task| task.attempt.number)
        .collect();
    assert!(suspects.len() > 3, "{suspects:?}");
    let culprit = *suspects.first().unwrap();
    for task in harness.placed.clone() {
        if task.agent != victim {
            harness.end(task.attempt, Outcome::Done);
        }
    }
    crash(&mut harness, &victim);
    harness.advance(600);
    let places: Vec<Process> = suspects
        .iter()
        .filter_map(|of| agent_of(&harness, *of))
        .collect();
    let distinct: BTreeSet<&Process> = places.iter().collect();
    assert_eq!(
        (places.len(), distinct.len()),
        (suspects.len(), suspects.len())
    );
    let second = agent_of(&harness, culprit).unwrap();
    crash(&mut harness, &second);
    assert_eq!(harness.answer(culprit), Some(Answer::Failed));
    for task in harness.placed.clone() {
        harness.end(task.attempt, Outcome::Done);
    }
    for innocent in suspects.iter().filter(|number| **number != culprit) {
        assert_eq!(
            harness.answer(*innocent),
            Some(Answer::Completed),
            "{innocent}"
        );
    }
}

// A rack lost power, came back and lost power again. Every task that had run there twice was
// suspected of crashing it.
#[test]
fn upstreams_that_are_lost_together_make_no_task_a_suspect() {
    let mut harness = Harness::new(12);
    harness.submit(1, 60, 400, 9_000);
    for _ in 0..3 {
        let rack: BTreeSet<Process> = (0..4).map(agent).collect();
        for lost in &rack {
            crash(&mut harness, lost);
        }
        harness.advance(600);
    }
    assert_eq!(harness.answer(1), None);
    for task in harness.placed.clone() {
        harness.end(task.attempt, Outcome::Done);
    }
    assert_eq!(harness.answer(1), Some(Answer::Completed));
}

// The caller of a job that had crashed two upstreams did not receive the answer and submitted the
// job again, and it crashed upstreams again.
#[test]
fn the_crashes_of_a_job_are_remembered_when_it_is_submitted_again() {
    let mut harness = Harness::new(6);
    harness.submit(1, 1, 400, 9_000);
    for _ in 0..2 {
        let agent = agent_of(&harness, 1).unwrap();
        harness.advance(800);
        crash(&mut harness, &agent);
    }
    let job = crate::harness::job(1, 1, 400);
    harness.submit_job(2, job, 9_000);
    assert_eq!(harness.answer(2), Some(Answer::Failed));
    assert!(harness.placed.is_empty());
}

// A crash left more suspects than there are other upstreams. They ran one after the other, and all
// but the first were late.
#[test]
fn suspects_share_upstreams_rather_than_wait_if_there_are_too_few() {
    let mut harness = Harness::new(2);
    harness.submit(1, 8, 400, 9_000);
    let count = |agent: &Process| {
        let placed = harness.placed.iter();
        placed.filter(|task| task.agent == *agent).count()
    };
    // The upstream with more tasks, so that there are four suspects or more.
    let first = [agent(0), agent(1)].into_iter().max_by_key(count).unwrap();
    let lost = count(&first);
    assert!(lost >= 4);
    crash(&mut harness, &first);
    harness.advance(50);
    assert_eq!(harness.placed.len(), 8);
    let other = harness
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
