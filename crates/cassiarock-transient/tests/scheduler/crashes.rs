//! Tasks that crash their upstreams.

use crate::harness::{CAPACITY, Harness, agent, ms};
use cassiarock_id::Process;
use cassiarock_transient::Resources;
use cassiarock_transient::message::{AttemptResult, Load, Message, Outcome};
use cassiarock_transient::scheduler::Answer;
use std::collections::BTreeSet;

/// Crashes the upstream of an agent. It is back at once with its whole capacity free.
fn crash(harness: &mut Harness, agent: &Process) {
    report_loss(harness, agent);
    restart(harness, agent);
}

/// Lets the upstream of an agent fall silent until its leases have expired.
fn lose(harness: &mut Harness, agent: &Process) {
    report_loss(harness, agent);
    harness.poll();
}

/// Delivers the loss of all tasks of an agent with its upstream.
fn report_loss(harness: &mut Harness, agent: &Process) {
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
            slowdown_percent: 100,
            ..Load::default()
        },
    };
    harness.deliver(agent, message);
}

/// Lets two upstreams fall silent one after the other, each while it runs a task of job 1.
fn lose_two(harness: &mut Harness) -> Vec<Process> {
    let mut silent = Vec::new();
    for _ in 0..2 {
        let lost = agent_of(harness, 1).unwrap();
        lose(harness, &lost);
        silent.push(lost);
        advance_without(harness, &silent, 600);
    }
    silent
}

/// Starts another incarnation of the upstream of an agent.
fn restart(harness: &mut Harness, agent: &Process) {
    let id = format!("u-{}-since-{}", agent.name, harness.now.as_millis());
    harness.announce(agent, &id, false);
    harness.heartbeat_of(agent, CAPACITY);
    harness.poll();
}

/// Passes time in which an agent hears nothing of its upstream.
fn advance_without(harness: &mut Harness, silent: &[Process], millis: u64) {
    for _ in 0..millis / 10 {
        harness.now += ms(10);
        let agents: Vec<Process> = harness.scheduler.linked_agents().cloned().collect();
        for agent in agents {
            let room = if silent.contains(&agent) {
                Resources::default()
            } else {
                CAPACITY
            };
            harness.heartbeat_of(&agent, room);
        }
        harness.poll();
    }
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

// An upstream hung and another one left at short notice. Their job was answered as failed, though no
// task of it had failed or crashed anything.
#[test]
fn a_job_whose_upstreams_were_lost_without_a_crash_is_not_failed() {
    let mut harness = Harness::new(6);
    harness.submit(1, 1, 400, 9_000);
    let hung = agent_of(&harness, 1).unwrap();
    lose(&mut harness, &hung);
    harness.advance(600);
    let leaving = agent_of(&harness, 1).unwrap();
    let id = format!("u-{}", leaving.name);
    harness.announce(&leaving, &id, true);
    harness.advance(200);
    lose(&mut harness, &leaving);
    assert_eq!(harness.answer(1), None);
    harness.advance(20);
    let task = harness.placed[0].attempt;
    harness.end(task, Outcome::Done);
    assert_eq!(harness.answer(1), Some(Answer::Completed));
}

// Two upstreams were cut off from their agents one after the other and ran on.
#[test]
fn a_job_whose_lost_upstreams_answer_again_is_placed_at_once() {
    let mut harness = Harness::new(6);
    harness.submit(1, 1, 400, 9_000);
    let first = agent_of(&harness, 1).unwrap();
    lose(&mut harness, &first);
    let silent = [first.clone()];
    advance_without(&mut harness, &silent, 600);
    let second = agent_of(&harness, 1).unwrap();
    lose(&mut harness, &second);
    let silent = [first, second];
    advance_without(&mut harness, &silent, 100);
    assert_eq!(harness.answer(1), None);
    assert_eq!(agent_of(&harness, 1), None, "it waits for a verdict");
    harness.advance(20);
    assert!(agent_of(&harness, 1).is_some());
}

// The caller of a job that may have crashed two upstreams submitted it again before they were back.
#[test]
fn a_job_that_is_submitted_again_waits_for_the_verdict_on_its_crashes() {
    let mut harness = Harness::new(6);
    harness.submit(1, 1, 200, 1_900);
    let silent = lose_two(&mut harness);
    advance_without(&mut harness, &silent, 800);
    assert_eq!(harness.answer(1), Some(Answer::GivenUp));
    let job = crate::harness::job(1, 1, 200);
    harness.submit_job(2, job, 9_000);
    assert!(harness.placed.is_empty());
    for lost in &silent {
        restart(&mut harness, lost);
    }
    assert_eq!(harness.answer(2), Some(Answer::Failed));
}

// Two upstreams were lost for good, which says nothing of the task that ran there.
#[test]
fn a_job_whose_upstreams_stay_away_is_placed_again_after_a_while() {
    let mut harness = Harness::new(6);
    harness.submit(1, 1, 2_000, 20_000);
    let silent = lose_two(&mut harness);
    assert_eq!(agent_of(&harness, 1), None);
    advance_without(&mut harness, &silent, 3_000);
    assert_eq!(harness.answer(1), None);
    assert!(agent_of(&harness, 1).is_some());
}

// Upstreams that crash are away for seconds. Their task must not go on crashing others meanwhile.
#[test]
fn a_task_is_given_up_once_the_restarts_of_two_upstreams_confirm_their_crashes() {
    let mut harness = Harness::new(6);
    harness.submit(1, 1, 2_000, 20_000);
    let silent = lose_two(&mut harness);
    advance_without(&mut harness, &silent, 400);
    assert_eq!(agent_of(&harness, 1), None);
    restart(&mut harness, &silent[0]);
    assert_eq!(harness.answer(1), None);
    restart(&mut harness, &silent[1]);
    assert_eq!(harness.answer(1), Some(Answer::Failed));
}

// A done task was placed again, and its second end completed a job whose last stage had never run.
#[test]
fn a_task_that_is_done_is_not_started_again_when_its_losses_are_refuted() {
    let mut harness = Harness::new(8);
    let mut job = crate::harness::job(1, 2, 2_000);
    job.stages[0].max_per_upstream = Some(1);
    let mut second = job.stages[0].clone();
    second.task_count = 1;
    second.dependencies = vec![0];
    job.stages.push(second);
    harness.submit_job(1, job, 60_000);
    let mut silent = Vec::new();
    for _ in 0..2 {
        let of_0 = |harness: &Harness| {
            let mut placed = harness.placed.iter();
            placed
                .find(|t| t.attempt.index == 0)
                .map(|t| t.agent.clone())
        };
        let lost = of_0(&harness).unwrap();
        lose(&mut harness, &lost);
        silent.push(lost);
        advance_without(&mut harness, &silent, 600);
    }
    advance_without(&mut harness, &silent, 3_000);
    let task = harness
        .placed
        .iter()
        .find(|t| t.attempt.index == 0)
        .unwrap()
        .attempt;
    harness.end(task, Outcome::Done);
    assert_eq!(harness.placed.len(), 1, "setup: task 1 runs");
    harness.heartbeat_of(&silent[0], CAPACITY);
    harness.poll();
    let running: Vec<_> = harness
        .placed
        .iter()
        .map(|t| (t.attempt.stage, t.attempt.index))
        .collect();
    assert_eq!(running, [(0, 1)], "task 0 is done");
}

// Two upstreams hung, left as announced and were replaced. The job was answered as failed.
#[test]
fn an_upstream_that_hung_and_then_left_as_announced_has_not_crashed() {
    let mut harness = Harness::new(6);
    harness.submit(1, 1, 2_000, 20_000);
    let mut silent = Vec::new();
    for _ in 0..2 {
        let lost = agent_of(&harness, 1).unwrap();
        lose(&mut harness, &lost);
        let id = format!("u-{}", lost.name);
        harness.announce(&lost, &id, true);
        silent.push(lost);
        advance_without(&mut harness, &silent, 600);
    }
    for lost in silent {
        harness.deliver(&lost, Message::Upstream(None));
        restart(&mut harness, &lost);
    }
    assert_eq!(harness.answer(1), None);
}

// A task went on crashing upstreams, as the report of each loss still named their room.
#[test]
fn room_named_with_a_loss_does_not_refute_it() {
    let mut harness = Harness::new(6);
    harness.submit(1, 1, 2_000, 20_000);
    for _ in 0..2 {
        let lost = agent_of(&harness, 1).unwrap();
        let at = harness.placed.remove(0);
        let result = AttemptResult {
            attempt: at.attempt,
            outcome: Outcome::Crashed,
            ran: ms(10),
        };
        harness.deliver(
            &lost,
            Message::Ended {
                clock: u64::try_from(harness.now.as_millis()).unwrap(),
                results: vec![result],
                load: Load {
                    last_serial: u64::MAX,
                    free: CAPACITY,
                    slowdown_percent: 100,
                    ..Load::default()
                },
            },
        );
        harness.deliver(&lost, Message::Upstream(None));
        restart(&mut harness, &lost);
        harness.advance(600);
    }
    assert_eq!(harness.answer(1), Some(Answer::Failed));
}

// A rack was lost, and a task of it waited for a verdict that no longer mattered.
#[test]
fn a_task_whose_losses_have_a_common_cause_does_not_wait_for_a_verdict() {
    let mut harness = Harness::new(8);
    harness.submit(1, 1, 2_000, 20_000);
    harness.submit(2, 8, 5_000, 30_000);
    let mut silent = Vec::new();
    let first = agent_of(&harness, 1).unwrap();
    lose(&mut harness, &first);
    silent.push(first);
    advance_without(&mut harness, &silent, 600);
    let second = agent_of(&harness, 1).unwrap();
    lose(&mut harness, &second);
    silent.push(second);
    assert_eq!(agent_of(&harness, 1), None, "waits");
    for _ in 0..2 {
        let other = agent_of(&harness, 2).unwrap();
        lose(&mut harness, &other);
        silent.push(other);
    }
    advance_without(&mut harness, &silent, 200);
    let soon = agent_of(&harness, 1);
    advance_without(&mut harness, &silent, 3_000);
    assert!(
        agent_of(&harness, 1).is_some(),
        "setup: it is placed in the end"
    );
    assert!(soon.is_some(), "nothing to wait for");
}

// A job was answered as failed for a task that was done.
#[test]
fn a_task_that_is_done_does_not_fail_its_job_when_its_losses_are_confirmed() {
    let mut harness = Harness::new(6);
    let mut job = crate::harness::job(1, 1, 2_000);
    let mut second = job.stages[0].clone();
    second.dependencies = vec![0];
    job.stages.push(second);
    harness.submit_job(1, job, 60_000);
    let silent = lose_two(&mut harness);
    advance_without(&mut harness, &silent, 3_000);
    let task = harness.placed[0].attempt;
    harness.end(task, Outcome::Done);
    for lost in &silent {
        restart(&mut harness, lost);
    }
    assert_eq!(harness.answer(1), None);
}

// An upstream crashed while its agent's link was replaced, and the agent announced the next one before the loss.
#[test]
fn a_crash_that_is_reported_over_a_new_link_is_confirmed() {
    let mut harness = Harness::new(6);
    harness.submit(1, 1, 2_000, 20_000);
    for round in 0..2 {
        let lost = agent_of(&harness, 1).unwrap();
        harness.scheduler.unlink(&lost);
        harness.scheduler.link(&lost, &"dc".into(), harness.now);
        harness.announce(&lost, &format!("u-new-{round}"), false);
        report_late_loss(&mut harness, &lost);
    }
    assert_eq!(harness.answer(1), Some(Answer::Failed));
}

// An upstream left as announced with a task on it, and its loss was reported after its successor was
// announced.
#[test]
fn the_loss_of_an_upstream_that_left_is_no_crash_if_its_successor_is_known() {
    let mut harness = Harness::new(6);
    harness.submit(1, 1, 2_000, 20_000);
    for round in 0..2 {
        let lost = agent_of(&harness, 1).unwrap();
        let id = format!("u-{}", lost.name);
        harness.announce(&lost, &id, true);
        harness.scheduler.unlink(&lost);
        harness.scheduler.link(&lost, &"dc".into(), harness.now);
        harness.announce(&lost, &format!("u-new-{round}"), false);
        report_late_loss(&mut harness, &lost);
    }
    assert_eq!(harness.answer(1), None);
}

/// Reports over a new link that the only task was lost just before the present upstream started.
fn report_late_loss(harness: &mut Harness, agent: &Process) {
    let held = harness.placed.iter().map(|t| t.attempt).collect();
    harness.deliver(agent, Message::Held(held));
    let at = harness.placed.remove(0);
    let result = AttemptResult {
        attempt: at.attempt,
        outcome: Outcome::Crashed,
        ran: ms(10),
    };
    harness.deliver(
        agent,
        Message::Ended {
            clock: u64::try_from(harness.now.as_millis()).unwrap(),
            results: vec![result],
            load: Load {
                free: CAPACITY,
                slowdown_percent: 100,
                ..Load::default()
            },
        },
    );
    harness.heartbeat_of(agent, CAPACITY);
    harness.advance(600);
}
