//! The worker's health, derived from health checks and outcomes of runs.

use cassiarock_id::Job;

/// The weight of the newest outcome in the failure rate. Ten failures in a row raise the rate
/// from 0 to 0.8; at 8 slots and 50 ms a worker that fails at once gets there in 0.1 s.
const SMOOTHING: f64 = 0.15;

/// The health record of one worker, kept by its agent.
///
/// It detects a worker that fails everything it starts: such a worker is always free, so it
/// attracts ever more work, and every job of many tasks fails on it. The agent only assesses;
/// how many workers of a pool may be excluded at a time is the entry's decision.
#[derive(Clone, Debug)]
pub struct WorkerHealth {
    max_failed_checks: u32,
    failed_checks: u32,
    failure_rate: f64,
    last_failed_job: Option<Job>,
}

impl WorkerHealth {
    /// Creates a record that reports the worker as down after `limit` failed checks in a row.
    ///
    /// ```
    /// use cassiarock_upstream::WorkerHealth;
    /// let mut health = WorkerHealth::new(2);
    /// health.record_check(false);
    /// assert!(health.is_up());
    /// health.record_check(false);
    /// assert!(!health.is_up());
    /// health.record_check(true);
    /// assert!(health.is_up());
    /// ```
    #[must_use]
    pub const fn new(max_failed_checks: u32) -> Self {
        Self {
            max_failed_checks,
            failed_checks: 0,
            failure_rate: 0.0,
            last_failed_job: None,
        }
    }

    /// Records a health check. A single check may fail under a burst of load; the limit of
    /// failed checks in a row is not reached that way.
    pub const fn record_check(&mut self, healthy: bool) {
        self.failed_checks = if healthy {
            0
        } else {
            self.failed_checks.saturating_add(1)
        };
    }

    /// Records how a run of `job` ended. A job that can never run fails with each of its
    /// tasks on every worker; only its first failure in a row counts, or one such job of
    /// 860 tasks would show the whole pool as failing.
    ///
    /// ```
    /// use cassiarock_id::{Job, Wall};
    /// use cassiarock_upstream::WorkerHealth;
    /// let mut health = WorkerHealth::new(3);
    /// let job = Job::new(Wall::now());
    /// health.record_run(job, true);
    /// let once = health.failure_rate();
    /// health.record_run(job, true);
    /// assert_eq!(health.failure_rate(), once);
    /// ```
    pub fn record_run(&mut self, job: Job, failed: bool) {
        if failed && self.last_failed_job == Some(job) {
            return;
        }
        self.last_failed_job = failed.then_some(job);
        let newest = f64::from(u8::from(failed));
        self.failure_rate += SMOOTHING * (newest - self.failure_rate);
    }

    /// Whether fewer checks in a row than the limit have failed.
    #[must_use]
    pub const fn is_up(&self) -> bool {
        self.failed_checks < self.max_failed_checks
    }

    /// Whether the last check succeeded.
    #[must_use]
    pub const fn has_passed_last_check(&self) -> bool {
        self.failed_checks == 0
    }

    /// The moving average of failed runs, from 0 to 1.
    #[must_use]
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
