//! One run of a task.

use cassiarock_id::{Job, Name, Task};
use std::sync::Arc;
use std::time::Duration;

/// A task to be run by the worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// The job.
    pub job: Job,
    /// The task's index in the job.
    pub task: Task,
    /// The round of the attempt that starts it.
    pub round: u32,
    /// The kind of request.
    pub kind: Name,
    /// The JSON text of the caller's payload.
    pub payload: Arc<[u8]>,
    /// How long the worker may take; after that the run counts as hung.
    pub limit: Duration,
}
