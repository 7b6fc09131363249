//! The admission of jobs.

use crate::harness::{Harness, agent, class, job, ms};
use cassiarock_transient::scheduler::Answer;
use std::time::Duration;
use yare::parameterized;

/// The longest patience that a caller may have.
const PATIENCE: Duration = Duration::from_secs(600);

/// Submits a job of 10,000 tasks, the most of one job, that need so many thousandths of a core,
/// and a job of one small task in the same batch, while the process starts.
fn submit_behind(cpu: u64, estimate: u64) -> Harness {
    let mut harness = Harness::starting();
    harness.add_agent(agent(0));
    harness.heartbeat_all();
    let mut large = job(1, 10_000, estimate);
    large.stages[0].demand.cpu = cpu;
    for (number, job) in [(1, large), (2, job(2, 1, 400))] {
        let scheduler = &mut harness.scheduler;
        let actions = scheduler.submit(number, job, class(), PATIENCE, harness.now);
        harness.apply(actions);
    }
    harness
}

// The expected wait was no duration, and the entry ended with all its jobs.
#[parameterized(
    longest_estimate = { 1_800_000_000_000_000, 1_000_000_000 },
    largest_of_both = { u64::MAX, 1_000_000_000 },
)]
fn a_job_behind_an_absurd_demand_is_refused_with_a_finite_pause(cpu: u64, estimate: u64) {
    let mut harness = submit_behind(cpu, estimate);
    let Some(Answer::Refused { retry_after, .. }) = harness.answer(2) else {
        panic!("{:?}", harness.answer(2));
    };
    assert!(retry_after <= Duration::from_secs(7_200), "{retry_after:?}");
    harness.advance(2_000);
    harness.submit_job(3, job(3, 1, 400), 600_000);
    harness.advance(100);
    assert!(harness.placed.iter().any(|task| task.attempt.number == 3));
}

// Nothing is refused for a wait that a caller accepts.
#[test]
fn a_job_behind_a_moderate_demand_is_admitted() {
    let harness = submit_behind(1, 300);
    assert_eq!(harness.answer(2), None);
    assert_eq!(harness.scheduler.job_count(), 2);
    assert!(harness.now < ms(1_000));
}
