//! What an entry does: messages, answers, lines for the log.

use crate::Decision;
use crate::message::Message;
use cassiarock_id::{Name, Process};
use std::time::Duration;

/// What a caller is answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// All tasks are done.
    Completed,
    /// The job has failed: one of its tasks did, as often as it may.
    Failed,
    /// The job was given up; tasks of it may have run.
    GivenUp,
    /// The caller has cancelled it.
    Cancelled,
    /// The job was not run, and nothing of it will be.
    Refused {
        /// When the caller should come back.
        retry_after: Duration,
        /// Whether the system has too much to do, rather than no upstream at all.
        is_overload: bool,
    },
}

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an agent.
    Send(Process, Message),
    /// Answer the caller of the job with this number.
    Answer(u64, Answer),
    /// A line for the log.
    Log(Decision),
    /// How long a stage of a job of this route took.
    Measure(Latency, Name, Duration),
}

/// A stage of a job's way, for metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Latency {
    /// From its arrival until its first tasks were placed.
    Queue,
    /// From its arrival until it was completed.
    Answer,
}
