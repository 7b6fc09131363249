//! Answers to calls.

use cassiarock_id::Name;
use std::sync::Arc;
use std::time::Duration;

/// The result of one task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Output {
    /// The caller's id of the task.
    pub id: Name,
    /// The JSON text of the worker's result.
    pub value: Arc<[u8]>,
}

/// The answer to a [`Call`](crate::Call).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// Every task ran and gave its result; the results are in the order of the tasks.
    Complete {
        /// One result for each task.
        results: Vec<Output>,
    },
    /// The job failed, and some of it ran or may have run.
    Failed {
        /// The reason for the answer.
        reason: String,
        /// The tasks that ran or may have run.
        ran: Vec<Name>,
    },
    /// The job was refused. Nothing of it ran, and nothing of it can start any more.
    Refused {
        /// The reason for the answer.
        reason: String,
        /// How long to wait before a new submission under a new id.
        retry_after: Duration,
    },
    /// The job was cancelled.
    Cancelled {
        /// The tasks that ran or may have run.
        ran: Vec<Name>,
        /// The tasks that did not run and cannot start any more.
        not_run: Vec<Name>,
    },
    /// The job is accepted and has no final answer yet.
    Running,
    /// The job is not known: it was never submitted, or its record has expired. This call
    /// started nothing of it; an earlier one may have.
    Unknown,
    /// The id is in use for a job with other content. This call started nothing.
    Conflict,
    /// The submission is not valid. This call started nothing.
    Invalid {
        /// The offending field of the request body.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The call was not accepted: the queue is full or the process is shutting down.
    /// It started nothing itself; an earlier submission of the same id may have.
    Unavailable {
        /// The reason for the answer.
        reason: String,
        /// How long to wait before the next call, which may use the same id.
        retry_after: Duration,
    },
}
