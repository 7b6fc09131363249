//! A job at this entry until its final answer.

use super::repeatable::RepeatableJob;
use super::{Action, Ticket};
use cassiarock_caller::Submission;
use cassiarock_claim::Ballot;
use cassiarock_claim::owner::Owner;
use cassiarock_id::{Job, Name, Process, Task};
use cassiarock_wire::Frame;
use std::sync::Arc;
use std::time::Duration;

/// How the job's tasks are started.
#[derive(Debug)]
pub(super) enum Plan {
    /// At most once each, under a claim.
    AtMostOnce(Box<Owner>),
    /// As often as the retry budget allows, without a claim.
    Repeatable(RepeatableJob),
}

/// The owner at another entry to which this entry attaches.
#[derive(Clone, Debug)]
pub(super) struct RemoteOwner {
    pub(super) owner: Ballot,
    /// When to give the owner up if no link with it has opened.
    pub(super) until: Duration,
}

/// A job that has no final answer yet.
#[derive(Debug)]
pub(super) struct PendingJob {
    pub(super) submission: Arc<Submission>,
    pub(super) rule: Name,
    pub(super) pool: Name,
    pub(super) plan: Plan,
    pub(super) arrived: Duration,
    /// The deadline, in time since the process started.
    pub(super) expires: Duration,
    /// When to send unanswered requests again, or to end.
    pub(super) retry: Duration,
    /// Callers who wait for the answer.
    pub(super) waiting: Vec<Ticket>,
    /// Entries that wait for the answer.
    pub(super) attached: Vec<Process>,
    pub(super) remote_owner: Option<RemoteOwner>,
    /// The last known address of the entry with the highest attempt, for links.
    pub(super) owner_address: Option<Name>,
    /// Why no more tasks are started, if so.
    pub(super) stopped: Option<StopReason>,
    /// The first task that failed, with the upstream's reason.
    pub(super) failure: Option<(Task, String)>,
}

/// Why a job was stopped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum StopReason {
    /// Its caller cancelled it.
    Cancelled,
    /// Its deadline passed.
    Deadline,
    /// One of its tasks failed.
    Failed,
    /// It was not admitted.
    Refused {
        /// The reason given to the caller.
        reason: String,
        /// When a new submission may succeed.
        retry_after: Duration,
    },
}

impl RemoteOwner {
    /// Asks the owner for the answer, or to cancel the job.
    pub(super) fn attach(&self, job: Job, cancel: bool) -> Action {
        let frame = Frame::Attach {
            job,
            ballot: Some(self.owner.clone()),
            cancel,
        };
        Action::Send(self.owner.entry.clone(), frame)
    }
}

impl PendingJob {
    pub(super) fn task_count(&self) -> u16 {
        u16::try_from(self.submission.tasks.len()).unwrap_or(u16::MAX)
    }

    /// When the job has to be checked next if no input arrives.
    pub(super) fn next_check(&self) -> Duration {
        self.expires.min(self.retry)
    }
}
