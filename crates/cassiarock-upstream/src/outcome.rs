//! The outcome of a run.

/// What the agent knows of a task after a [`UpstreamClient::run`](crate::UpstreamClient::run).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The worker's complete result as JSON text.
    Done(Vec<u8>),
    /// The worker said that the task failed.
    Failed(String),
    /// The request may have been sent and no complete valid answer came back: the task may
    /// have run.
    Lost(String),
    /// Nothing was sent: the task has not started, and this run will not start it any more.
    NotStarted(String),
}

impl Outcome {
    /// The outcome as a metric's label.
    pub(crate) const fn label(&self) -> &'static str {
        match self {
            Self::Done(_) => "done",
            Self::Failed(_) => "failed",
            Self::Lost(_) => "lost",
            Self::NotStarted(_) => "not_started",
        }
    }
}
