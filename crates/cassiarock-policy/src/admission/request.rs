//! What is offered to the gate, and its answer.

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
/// let offer = AdmissionRequest::new(id, Name::from("valley-3"), 20, Duration::from_secs(5));
/// assert_eq!(offer.time_left, None);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// The job.
    pub job: Job,
    /// Whose quota it uses.
    pub team: Name,
    /// How many tasks it has.
    pub task_count: usize,
    /// Their expected run time in all.
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

    /// With a deadline.
    #[must_use]
    pub const fn with_deadline(mut self, time_left: Duration) -> Self {
        self.time_left = Some(time_left);
        self
    }
}

/// Why a job is refused. None of its tasks has been started.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The entry holds as many tasks or jobs as it may.
    Full,
    /// It would not end before its deadline.
    Late,
    /// Its team has used up its quota.
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

/// The gate's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The job is admitted and due at this time.
    Admit(Due),
    /// It is refused.
    Refuse {
        /// Why.
        reason: Reason,
        /// When its caller may try again; differs from caller to caller.
        retry_after: Duration,
    },
}
