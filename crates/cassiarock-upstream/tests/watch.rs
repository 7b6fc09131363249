//! The health record of a worker.

use cassiarock_id::{Job, Wall};
use cassiarock_upstream::WorkerHealth;

fn job(bits: u64) -> Job {
    Job::with_bits(Wall::from_millis(1), bits)
}

/// Guards against one worker failing every large job: a worker that fails all tasks at once is
/// always free and gets the most work.
#[test]
fn a_worker_that_fails_everything_is_detected_within_ten_jobs() {
    let mut health = WorkerHealth::new(3);
    (0..10).for_each(|bits| health.record_run(job(bits), true));
    assert!(health.failure_rate() > 0.75, "{}", health.failure_rate());
}

/// Guards against the whole pool counting as failing because of one job that can never run: it
/// was spread over all upstreams and failed with each of its tasks.
#[test]
fn one_job_that_cannot_run_does_not_raise_the_failure_rate() {
    let mut health = WorkerHealth::new(3);
    (0..860).for_each(|_| health.record_run(job(1), true));
    assert!(health.failure_rate() < 0.2, "{}", health.failure_rate());
}

#[test]
fn the_failure_rate_falls_after_a_recovery() {
    let mut health = WorkerHealth::new(3);
    (0..50).for_each(|bits| health.record_run(job(bits), true));
    (0..20).for_each(|bits| health.record_run(job(bits), false));
    assert!(health.failure_rate() < 0.05, "{}", health.failure_rate());
}
