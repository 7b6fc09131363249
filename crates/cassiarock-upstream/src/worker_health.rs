//! Whether the worker can be trusted with work, judged from checks and outcomes.

use cassiarock_id::Job;

/// The weight of the newest outcome. Ten failures in a row bring the share from 0 to
/// 0.8: at 8 slots and 50 ms that is a tenth of a second of a worker that fails at once.
const SMOOTHING: f64 = 0.15;

/// One worker's record, kept by its agent.
///
/// Made for a worker that fails everything it starts: being always free, it draws ever
/// more work to itself, and every job of many tasks fails on it. The agent only judges;
/// how many workers of a pool may be left out at a time is the entry's decision.
#[derive(Clone, Debug)]
pub struct WorkerHealth {
    max_failed_checks: u32,
    failed_checks: u32,
    failure_rate: f64,
    last_failed_job: Option<Job>,
}

impl WorkerHealth {
    /// A record that calls the worker down after `limit` failed checks in a row.
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

    /// Notes a health check. One check in a row may be lost to a burst; `limit` of them
    /// are not.
    pub const fn record_check(&mut self, healthy: bool) {
        self.failed_checks = if healthy {
            0
        } else {
            self.failed_checks.saturating_add(1)
        };
    }

    /// Notes how a run of `job` ended. A job that can never run fails with each of its
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

    /// Whether the worker answers its checks.
    #[must_use]
    pub const fn is_up(&self) -> bool {
        self.failed_checks < self.max_failed_checks
    }

    /// Whether the last check was good.
    #[must_use]
    pub const fn has_passed_last_check(&self) -> bool {
        self.failed_checks == 0
    }

    /// The share of failed runs of late, from 0 to 1.
    #[must_use]
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
