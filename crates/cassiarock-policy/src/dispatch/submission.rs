//! What an entry submits to its dispatcher, and the answers.

use crate::admission;
use crate::size::{ResourceKind, Resources};
use cassiarock_id::{Job, Name};
use std::time::Duration;

/// A job as its caller submitted it.
///
/// ```
/// use cassiarock_id::{Job, Name, Wall};
/// use cassiarock_policy::dispatch::Submission;
/// let id = Job::with_bits(Wall::from_millis(1), 1);
/// let job = Submission::new(id, Name::from("valley-3"), Name::from("seat-check"), 1);
/// assert_eq!(job.declared_run_time, None);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The job.
    pub job: Job,
    /// The team whose quota it uses.
    pub team: Name,
    /// The kind of its tasks.
    pub kind: Name,
    /// How many tasks it has.
    pub task_count: usize,
    /// The run time that the caller declares for one task.
    pub declared_run_time: Option<Duration>,
    /// What the caller declares that one task needs.
    pub need: Resources,
    /// The time left until the caller's deadline.
    pub time_left: Option<Duration>,
}

impl Submission {
    /// A job that declares nothing.
    #[must_use]
    pub const fn new(job: Job, team: Name, kind: Name, task_count: usize) -> Self {
        Self {
            job,
            team,
            kind,
            task_count,
            declared_run_time: None,
            need: Resources::new(0, 0, 0),
            time_left: None,
        }
    }

    /// Sets [`Self::declared_run_time`].
    #[must_use]
    pub const fn with_declared_run_time(mut self, run_time: Duration) -> Self {
        self.declared_run_time = Some(run_time);
        self
    }

    /// Sets [`Self::need`].
    #[must_use]
    pub const fn with_need(mut self, need: Resources) -> Self {
        self.need = need;
        self
    }

    /// Sets [`Self::time_left`].
    #[must_use]
    pub const fn with_deadline(mut self, time_left: Duration) -> Self {
        self.time_left = Some(time_left);
        self
    }
}

/// Whether a submission is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// It is admitted. Release its tasks once they may start.
    Admit,
    /// It is refused, and none of its tasks was sent.
    Refuse {
        /// Why it is refused.
        reason: Reason,
        /// After how long the caller may try again; `None` if a retry cannot succeed.
        retry_after: Option<Duration>,
    },
}

/// Why a submission is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// There is too much work at present.
    Load(admission::Reason),
    /// No upstream of the pool has enough of the resource.
    Impossible(ResourceKind),
}

impl Reason {
    /// The name used in metrics and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Load(reason) => reason.as_str(),
            Self::Impossible(_) => "impossible",
        }
    }
}

/// How a started task ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It succeeded after this run time at the worker.
    Done(Duration),
    /// The worker failed it.
    Failed,
    /// Its outcome is unknown.
    Lost,
}
