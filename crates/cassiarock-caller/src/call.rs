//! Calls from the router to the receiver that decides on them.

use crate::{Answer, Submission};
use cassiarock_id::Job;
use std::time::Duration;
use tokio::sync::oneshot;

/// A checked request from a caller, with the sender for its one answer. The receiver is
/// dropped when the caller's connection closes or its wait ends; that cancels nothing.
#[derive(Debug)]
pub enum Call {
    /// Accept a job, and answer when it has its final answer.
    Submit(Submission, oneshot::Sender<Answer>),
    /// Give a job's answer: at once, or when it ends within the given time.
    Find(Job, Option<Duration>, oneshot::Sender<Answer>),
    /// Cancel a job, and answer when it is certain what ran.
    Cancel(Job, oneshot::Sender<Answer>),
}
