//! The scheduler's output: messages, answers, log records and measurements.

use crate::Decision;
use crate::message::Message;
use cassiarock_id::{Name, Process};
use std::time::Duration;

/// The answer to the caller of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// All tasks are done.
    Completed,
    /// The job has failed, because one of its tasks failed as often as it may.
    Failed,
    /// The job was given up; some of its tasks may have run.
    GivenUp,
    /// The caller has cancelled the job.
    Cancelled,
    /// The job was not run, and no part of it will be.
    Refused {
        /// How long the caller should wait before it submits again.
        retry_after: Duration,
        /// Whether the cause is overload, rather than the lack of any upstream.
        is_overload: bool,
    },
}

/// An action for the caller of the scheduler to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a message to an agent.
    Send(Process, Message),
    /// Answers the caller of the job with this number.
    Answer(u64, Answer),
    /// Logs a decision.
    Log(Decision),
    /// Records a latency of a job of this route.
    Measure(Latency, Name, Duration),
}

/// A latency of a job that is exported as a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Latency {
    /// From the job's arrival until its first tasks were placed.
    Queue,
    /// From the job's arrival until it was completed.
    Answer,
}
