//! Tests of placement on upstreams of several speeds.

use crate::harness::{CAPACITY, Harness, agent, job, ms};
use cassiarock_transient::message::{AttemptResult, Outcome, Upstream};
use cassiarock_transient::scheduler::RunTime;
use cassiarock_transient::{Message, Resources};
use yare::parameterized;

const FAST: &str = "s 10000/1000 b";
const SLOW: &str = "s 10000/1000 a";

/// Three slow and three fast upstreams, each in a rack of its own.
fn uneven() -> Harness {
    let mut harness = Harness::new(6);
    for number in 0..6 {
        relabel(&mut harness, number, if number < 3 { "a" } else { "b" });
    }
    harness.heartbeat_all();
    harness.advance(40);
    harness
}

fn relabel(harness: &mut Harness, number: usize, kind: &str) {
    let upstream = Upstream {
        id: format!("u-{number}").into(),
        started_at: None,
        service: "s".into(),
        capacity: CAPACITY,
        labels: vec![format!("r-{number}").into(), kind.into()],
        is_leaving: false,
        ..Upstream::default()
    };
    harness.deliver(&agent(number), Message::Upstream(Some(upstream)));
}

/// Lets each upstream run tasks of 100 ms by estimate, slow ones for 140 ms and fast ones for 60 ms.
fn learn(harness: &mut Harness) {
    for number in 1..=60 {
        harness.submit(number, 6, 100, 9_000);
        for task in std::mem::take(&mut harness.placed) {
            let is_slow = (0..3).any(|slow| task.agent == agent(slow));
            let ending = AttemptResult {
                attempt: task.attempt,
                outcome: Outcome::Done,
                ran: ms(if is_slow { 140 } else { 60 }),
            };
            harness.report_ending(&task.agent, ending);
        }
        // Only the slow ones have room every other time.
        if number % 2 == 0 {
            for fast in 3..6 {
                harness.heartbeat_of(&agent(fast), Resources::default());
            }
        } else {
            harness.heartbeat_all();
        }
    }
}

fn learned(harness: &Harness, kind: &str) -> Option<RunTime> {
    let mut all = harness.scheduler.usual_run_times();
    let found = all.find(|(route, of, _)| &***route == "r" && &***of == kind);
    found.map(|(.., known)| known)
}

const fn run_time(mean: f64, upper: f64) -> RunTime {
    RunTime {
        mean,
        upper,
        count: 500,
    }
}

#[test]
fn run_times_are_learned_by_kind_and_not_by_rack() {
    let mut harness = uneven();
    learn(&mut harness);
    let (slow, fast) = (learned(&harness, SLOW), learned(&harness, FAST));
    let (slow, fast) = (slow.unwrap(), fast.unwrap());
    assert!((slow.mean - 1.4).abs() < 0.1, "{slow:?}");
    assert!((fast.mean - 0.6).abs() < 0.1, "{fast:?}");
    assert!(slow.upper >= slow.mean && slow.count >= 100, "{slow:?}");
    assert_eq!(harness.scheduler.usual_run_times().count(), 2);
}

#[test]
fn a_new_upstream_counts_as_its_kind_from_its_first_task() {
    let mut harness = uneven();
    learn(&mut harness);
    harness.add_agent(agent(6));
    relabel(&mut harness, 6, "b");
    harness.advance(40);
    for old in 3..6 {
        harness.heartbeat_of(&agent(old), Resources::default());
    }
    harness.submit(100, 1, 100, 9_000);
    assert_eq!(harness.placed[0].agent, agent(6));
}

#[test]
fn an_upstream_that_is_slow_for_its_kind_gets_no_task_that_would_be_late_there() {
    let mut harness = uneven();
    learn(&mut harness);
    // Reports are relative to the kind, so the fast upstream is now as slow as a slow kind.
    harness.heartbeat_all();
    harness.heartbeat_paced(&agent(3), 260);
    harness.now += ms(20);
    harness.poll();
    for other in [0, 1, 2, 4, 5] {
        harness.heartbeat_of(&agent(other), Resources::default());
    }
    harness.submit(100, 1, 500, 9_000);
    assert!(harness.placed.is_empty(), "{:?}", harness.placed);
}

#[parameterized(
    not_a_number = { run_time(f64::NAN, 1.0) },
    zero = { run_time(0.0, 0.0) },
    huge = { run_time(1e300, f64::INFINITY) },
    upper_below_mean = { run_time(2.0, 1.0) },
)]
fn a_wild_record_is_left_out(wild: RunTime) {
    let mut harness = uneven();
    harness
        .scheduler
        .adopt_run_times(&"r".into(), &FAST.into(), wild);
    assert_eq!(harness.scheduler.usual_run_times().count(), 0);
    harness.submit(1, 1, 100, 3_000);
    assert_eq!(harness.placed.len(), 1);
}

#[test]
fn a_process_without_a_record_places_tasks() {
    let mut harness = uneven();
    harness.submit(1, 12, 100, 3_000);
    assert_eq!(harness.placed.len(), 12);
}

#[test]
fn a_recorded_kind_that_does_not_exist_changes_nothing() {
    let mut harness = uneven();
    learn(&mut harness);
    let before = learned(&harness, FAST);
    for number in 0..1_000 {
        let kind = format!("s {number}/1 z").into();
        let wild = run_time(4.9, 5.0);
        harness.scheduler.adopt_run_times(&"r".into(), &kind, wild);
    }
    assert_eq!(learned(&harness, FAST), before);
    assert!(harness.scheduler.usual_run_times().count() <= 32);
    harness.submit_job(100, job(100, 1, 100), 3_000);
    assert_eq!(harness.placed.len(), 1);
}

#[test]
fn a_record_counts_until_enough_tasks_were_seen() {
    let mut harness = uneven();
    let record = run_time(0.6, 0.8);
    harness
        .scheduler
        .adopt_run_times(&"r".into(), &FAST.into(), record);
    let adopted = learned(&harness, FAST).unwrap();
    assert!((adopted.mean - 0.6).abs() < 1e-9 && adopted.count <= 20);
    learn(&mut harness);
    let own = learned(&harness, FAST);
    harness
        .scheduler
        .adopt_run_times(&"r".into(), &FAST.into(), run_time(3.0, 4.0));
    assert_eq!(learned(&harness, FAST), own);
}

/// Takes the room of these agents.
fn fill(harness: &mut Harness, agents: std::ops::Range<usize>) {
    for number in agents {
        harness.heartbeat_of(&agent(number), Resources::default());
    }
}

// Of 500 ms by estimate, some 1.4 times as much on a slow upstream and 0.6 on a fast one.
#[test]
fn a_task_that_would_be_late_on_a_slow_upstream_waits_for_a_fast_one() {
    let mut harness = uneven();
    learn(&mut harness);
    fill(&mut harness, 0..6);
    harness.submit(100, 1, 500, 9_000);
    harness.now += ms(250);
    fill(&mut harness, 0..6);
    harness.heartbeat_of(&agent(0), CAPACITY);
    harness.poll();
    assert!(harness.placed.is_empty(), "{:?}", harness.placed);
    harness.heartbeat_of(&agent(3), CAPACITY);
    harness.poll();
    assert_eq!(harness.placed[0].agent, agent(3));
}

#[test]
fn a_task_that_is_late_everywhere_goes_to_a_slow_upstream() {
    let mut harness = uneven();
    learn(&mut harness);
    fill(&mut harness, 0..6);
    harness.submit(100, 1, 500, 9_000);
    harness.advance_full(700);
    harness.heartbeat_of(&agent(0), CAPACITY);
    harness.poll();
    assert_eq!(harness.placed[0].agent, agent(0));
}

// One of thirty places of the fast upstreams is free, and 50 ms tasks are on time anywhere.
#[test]
fn short_tasks_leave_the_last_fast_room_to_others() {
    let mut harness = uneven();
    learn(&mut harness);
    harness.heartbeat_all();
    fill(&mut harness, 3..5);
    harness.heartbeat_of(&agent(5), Resources::new(1_000, 1_000, 0));
    harness.now += ms(20);
    harness.poll();
    harness.submit(100, 1, 30, 9_000);
    let place = &harness.placed[0].agent;
    assert!((0..3).any(|slow| *place == agent(slow)), "{place}");
}

#[test]
fn a_task_that_needs_a_label_does_not_wait_for_upstreams_without_it() {
    let mut harness = uneven();
    learn(&mut harness);
    fill(&mut harness, 0..6);
    let mut labelled = job(100, 1, 500);
    labelled.stages[0].label = Some("a".into());
    harness.submit_job(100, labelled, 9_000);
    harness.advance_full(250);
    harness.heartbeat_of(&agent(0), CAPACITY);
    harness.poll();
    assert_eq!(
        harness.placed.first().map(|task| &task.agent),
        Some(&agent(0))
    );
}
