//! The judgement of a worker.

use cassiarock_id::{Job, Wall};
use cassiarock_upstream::WorkerHealth;

fn job(bits: u64) -> Job {
    Job::with_bits(Wall::from_millis(1), bits)
}

/// Every large job fails while most upstreams are fine. One worker fails all it starts
/// at once, so it is always free and is given the most work.
#[test]
fn a_worker_that_fails_everything_shows_within_ten_jobs() {
    let mut health = WorkerHealth::new(3);
    (0..10).for_each(|bits| health.record_run(job(bits), true));
    assert!(health.failure_rate() > 0.75, "{}", health.failure_rate());
}

/// The whole pool is taken for broken. One job that can never run was spread over all
/// upstreams and failed with each of its tasks.
#[test]
fn one_job_that_cannot_run_does_not_blame_its_workers() {
    let mut health = WorkerHealth::new(3);
    (0..860).for_each(|_| health.record_run(job(1), true));
    assert!(health.failure_rate() < 0.2, "{}", health.failure_rate());
}

#[test]
fn a_worker_that_recovered_is_trusted_again() {
    let mut health = WorkerHealth::new(3);
    (0..50).for_each(|bits| health.record_run(job(bits), true));
    (0..20).for_each(|bits| health.record_run(job(bits), false));
    assert!(health.failure_rate() < 0.05, "{}", health.failure_rate());
}
