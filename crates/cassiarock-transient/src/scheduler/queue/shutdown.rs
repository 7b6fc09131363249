//! Shutdown of an entry: every job gets its answer before the process ends.

use crate::scheduler::active_job::ActiveJob;
use crate::scheduler::{Action, Answer, Scheduler};
use std::time::Duration;

/// The minimum `Retry-After`, in which another entry can usually take the job.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The reason in the log for refusing or giving up a job.
pub(in crate::scheduler) const REASON: &str = "shutdown";

impl Scheduler {
    /// Starts the shutdown. Jobs that cannot end by `deadline` are refused as soon as that is
    /// known, and those that are left then are given up. A later call can only bring the deadline
    /// forward.
    ///
    /// ```
    /// use cassiarock_transient::Scheduler;
    /// use std::time::Duration;
    /// let mut scheduler = Scheduler::new();
    /// scheduler.shut_down(Duration::from_secs(5));
    /// assert!(scheduler.poll(Duration::from_secs(5)).is_empty());
    /// ```
    pub fn shut_down(&mut self, deadline: Duration) {
        let known = self.shutdown_deadline.unwrap_or(deadline);
        self.shutdown_deadline = Some(known.min(deadline));
    }

    /// Whether the process is leaving and has to have answered all callers before `time`.
    pub(in crate::scheduler) fn ends_before(&self, time: Duration) -> bool {
        self.shutdown_deadline
            .is_some_and(|deadline| deadline < time)
    }

    /// Ends the jobs that would outlast the process, and answers their callers.
    pub(in crate::scheduler) fn end_jobs_cut_short(
        &mut self,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if self.shutdown_deadline.is_none() {
            return;
        }
        let jobs = self.jobs.values();
        let cut_short = jobs.filter(|active| self.ends_before(now + active.min_time_left()));
        let numbers: Vec<u64> = cut_short.map(|active| active.number).collect();
        for number in numbers {
            let may_have_run = self.jobs.get(&number).is_some_and(ActiveJob::may_have_run);
            if may_have_run {
                self.fail(number, Answer::GivenUp, REASON, now, actions);
            } else {
                let answer = self.refused_by_shutdown();
                self.refuse(number, answer, REASON, now, actions);
            }
        }
    }

    /// The refusal of a job that would outlast the process.
    pub(in crate::scheduler) fn refused_by_shutdown(&self) -> Answer {
        self.refusal(RETRY_AFTER, false)
    }
}
