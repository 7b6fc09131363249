//! Requests for admission and their answers.

use crate::Due;
use cassiarock_id::{Job, Name};
use std::time::Duration;

/// A job that asks for admission.
///
/// ```
/// use cassiarock_id::{Job, Name, Wall};
/// use cassiarock_policy::admission::AdmissionRequest;
/// use std::time::Duration;
/// let id = Job::with_bits(Wall::from_millis(1), 1);
/// let request = AdmissionRequest::new(id, Name::from("valley-3"), 20, Duration::from_secs(5));
/// assert_eq!(request.time_left, None);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// The job.
    pub job: Job,
    /// The team whose quota it uses.
    pub team: Name,
    /// How many tasks it has.
    pub task_count: usize,
    /// The expected run time of all its tasks together.
    pub work: Duration,
    /// The time left until its caller's deadline.
    pub time_left: Option<Duration>,
}

impl AdmissionRequest {
    /// A job without a deadline.
    #[must_use]
    pub const fn new(job: Job, team: Name, task_count: usize, work: Duration) -> Self {
        Self {
            job,
            team,
            task_count,
            work,
            time_left: None,
        }
    }

    /// Sets [`Self::time_left`].
    #[must_use]
    pub const fn with_deadline(mut self, time_left: Duration) -> Self {
        self.time_left = Some(time_left);
        self
    }
}

/// Why a job is refused. None of its tasks has been started.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The entry has reached its limit on tasks or jobs.
    Full,
    /// The job would not end before its deadline.
    Late,
    /// The job's team has used up its quota.
    Quota,
}

impl Reason {
    /// The name used in metrics and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Late => "late",
            Self::Quota => "quota",
        }
    }
}

/// The answer to an [`AdmissionRequest`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The job is admitted and due at this time.
    Admit(Due),
    /// The job is refused.
    Refuse {
        /// Why it is refused.
        reason: Reason,
        /// After how long its caller may try again. Randomized, so that refused callers do
        /// not return together.
        retry_after: Duration,
    },
}
