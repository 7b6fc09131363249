//! What a run came to.

/// What the agent knows of a task after a [`UpstreamClient::run`](crate::UpstreamClient::run).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The worker's result, whole: JSON text.
    Done(Vec<u8>),
    /// The worker said that the task failed.
    Failed(String),
    /// The request left and no whole valid answer came back: the task may have run.
    Lost(String),
    /// No connection came about, so nothing was sent: the task has not started, and
    /// this run starts it no more.
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
