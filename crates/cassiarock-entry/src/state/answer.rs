//! Final answers: how they are made from a job's outcome and encoded between entries.

use super::pending::{PendingJob, StopReason};
use cassiarock_caller::{Answer, Output};
use cassiarock_claim::message::Outcome;
use cassiarock_claim::owner::{FailureReason, JobOutcome};
use cassiarock_id::Name;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// When a caller whose job was refused may try again if there is no better estimate.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Makes the answer of a job from the outcome of its attempt.
pub(super) fn from_outcome(pending: &PendingJob, end: JobOutcome) -> Answer {
    match end {
        JobOutcome::Complete(outcomes) => complete(pending, outcomes),
        JobOutcome::Failed { reason, outcomes } => failed(pending, reason, &outcomes),
        JobOutcome::Refused => refused(pending),
        JobOutcome::Mismatch => Answer::Conflict,
    }
}

fn complete(pending: &PendingJob, outcomes: Vec<Outcome>) -> Answer {
    let tasks = pending.submission.tasks.iter().zip(&outcomes);
    let results: Option<Vec<Output>> = tasks
        .map(|(task, outcome)| match outcome {
            Outcome::Done(value) => Some(Output {
                id: task.id.clone(),
                value: value.as_slice().into(),
            }),
            Outcome::Failed(_) | Outcome::Lost(_) => None,
        })
        .collect();
    match results {
        Some(results) => Answer::Complete { results },
        // Every task had started; those that were stopped have no result.
        None if pending.stopped == Some(StopReason::Cancelled) => Answer::Cancelled {
            ran: task_ids(pending, |_| true),
            not_run: Vec::new(),
        },
        None => Answer::Failed {
            reason: failure(pending),
            ran: task_ids(pending, |_| true),
        },
    }
}

fn failed(pending: &PendingJob, reason: FailureReason, outcomes: &[Option<Outcome>]) -> Answer {
    // Only a completed cancellation proves that the other tasks never started.
    let proven = reason == FailureReason::Cancelled;
    let ran = task_ids(pending, |task| !proven || outcomes[task].is_some());
    // An attempt that took over learns of the cancellation from the agents.
    let unattributed = pending.stopped.is_none() && pending.failure.is_none();
    if proven && (unattributed || pending.stopped == Some(StopReason::Cancelled)) {
        let not_run = task_ids(pending, |task| outcomes[task].is_none());
        return Answer::Cancelled { ran, not_run };
    }
    if reason == FailureReason::Lost && pending.stopped == Some(StopReason::Cancelled) {
        let not_run = Vec::new();
        return Answer::Cancelled { ran, not_run };
    }
    let reason = match reason {
        FailureReason::Cancelled => failure(pending),
        FailureReason::Lost => "the end of a task that was started is not known".to_owned(),
        FailureReason::Unprovable => "an agent that may have run tasks of it is gone".to_owned(),
        FailureReason::Forgotten => "the id is older than what is remembered".to_owned(),
        FailureReason::Mismatch => "the id is in use for other tasks".to_owned(),
        FailureReason::Expired => "the deadline passed".to_owned(),
    };
    Answer::Failed { reason, ran }
}

fn refused(pending: &PendingJob) -> Answer {
    match &pending.stopped {
        Some(StopReason::Cancelled) => Answer::Cancelled {
            ran: Vec::new(),
            not_run: task_ids(pending, |_| true),
        },
        Some(StopReason::Refused {
            reason,
            retry_after,
        }) => Answer::Refused {
            reason: reason.clone(),
            retry_after: *retry_after,
        },
        Some(StopReason::Deadline) => Answer::Refused {
            reason: "the deadline passed before any task could start".to_owned(),
            retry_after: RETRY_AFTER,
        },
        Some(StopReason::Failed) | None => Answer::Refused {
            reason: "an earlier submission of this id was refused".to_owned(),
            retry_after: RETRY_AFTER,
        },
    }
}

fn failure(pending: &PendingJob) -> String {
    match (&pending.failure, &pending.stopped) {
        (Some((task, reason)), _) => {
            let id = &pending.submission.tasks[task.index()].id;
            format!("task {id} failed: {reason}")
        }
        (None, Some(StopReason::Deadline)) => "the deadline passed".to_owned(),
        (None, _) => "a task failed".to_owned(),
    }
}

fn task_ids(pending: &PendingJob, wanted: impl Fn(usize) -> bool) -> Vec<Name> {
    let tasks = pending.submission.tasks.iter().enumerate();
    tasks
        .filter(|(at, _)| wanted(*at))
        .map(|(_, task)| task.id.clone())
        .collect()
}

/// A final answer as it is sent between entries.
#[derive(Deserialize, Serialize)]
enum EncodedAnswer {
    Complete(Vec<(Name, String)>),
    Failed(String, Vec<Name>),
    Refused(String, u64),
    Cancelled(Vec<Name>, Vec<Name>),
    Conflict,
}

/// Encodes a final answer; returns `None` for an answer that is not final.
pub(super) fn encode(answer: &Answer) -> Option<Vec<u8>> {
    let stored = match answer {
        Answer::Complete { results } => {
            let text = |output: &Output| String::from_utf8(output.value.to_vec()).ok();
            let results = results
                .iter()
                .map(|output| Some((output.id.clone(), text(output)?)));
            EncodedAnswer::Complete(results.collect::<Option<_>>()?)
        }
        Answer::Failed { reason, ran } => EncodedAnswer::Failed(reason.clone(), ran.clone()),
        Answer::Refused {
            reason,
            retry_after,
        } => {
            let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
            EncodedAnswer::Refused(reason.clone(), millis)
        }
        Answer::Cancelled { ran, not_run } => {
            EncodedAnswer::Cancelled(ran.clone(), not_run.clone())
        }
        Answer::Conflict => EncodedAnswer::Conflict,
        _ => return None,
    };
    serde_json::to_vec(&stored).ok()
}

/// Decodes a final answer; returns `None` if `bytes` are invalid.
pub(super) fn decode(bytes: &[u8]) -> Option<Answer> {
    let answer = match serde_json::from_slice(bytes).ok()? {
        EncodedAnswer::Complete(results) => {
            let output = |(id, value): (Name, String)| Output {
                id,
                value: value.into_bytes().into(),
            };
            Answer::Complete {
                results: results.into_iter().map(output).collect(),
            }
        }
        EncodedAnswer::Failed(reason, ran) => Answer::Failed { reason, ran },
        EncodedAnswer::Refused(reason, millis) => Answer::Refused {
            reason,
            retry_after: Duration::from_millis(millis),
        },
        EncodedAnswer::Cancelled(ran, not_run) => Answer::Cancelled { ran, not_run },
        EncodedAnswer::Conflict => Answer::Conflict,
    };
    Some(answer)
}
