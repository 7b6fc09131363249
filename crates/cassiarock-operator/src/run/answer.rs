//! The response of an entry about a job.

use crate::http::Reply;
use crate::{Error, Exit, Report, Table};
use serde::Deserialize;
use serde_json::Value;
use std::time::Duration;

/// The response of an entry about a job.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The body as the entry sent it.
    pub body: Value,
    /// The outcome that the body reports.
    pub outcome: Outcome,
}

/// The outcomes of the callers' API.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// Every task ran and has one result.
    Complete { results: Vec<TaskResult> },
    /// Failed; these tasks ran or may have run.
    FailedMayHaveRun { reason: String, ran: Vec<String> },
    /// Refused; nothing ran.
    RefusedNotRun { reason: String },
    /// Cancelled.
    Cancelled {
        ran: Vec<String>,
        not_run: Vec<String>,
    },
    /// The job has not ended yet.
    Running,
    /// No such job.
    Unknown { reason: String },
    /// The id is in use for other content.
    Conflict { reason: String },
    /// A field of the submission is wrong.
    Invalid { field: String, reason: String },
    /// The entry accepts no jobs at the moment.
    Unavailable { reason: String, retry_after_s: u64 },
}

/// One task's result.
#[derive(Clone, Debug, Deserialize)]
pub struct TaskResult {
    id: String,
    result: Value,
}

impl Answer {
    /// Parses the reply of the entry at `peer`.
    pub fn new(step: &'static str, peer: &str, reply: Reply) -> Result<Self, Error> {
        let outcome =
            Outcome::deserialize(&reply.body).map_err(|error| Error::InvalidResponse {
                step,
                peer: peer.to_owned(),
                reason: format!("status {}: {error}", reply.status),
            })?;
        Ok(Self {
            body: reply.body,
            outcome,
        })
    }

    /// Returns the delay before the next attempt if the entry accepts no jobs at the moment.
    pub fn retry_after(&self) -> Option<Duration> {
        match &self.outcome {
            Outcome::Unavailable { retry_after_s, .. } => Some(Duration::from_secs(*retry_after_s)),
            _ => None,
        }
    }

    /// Returns the report to print.
    pub fn report(&self) -> Report {
        Report::new(&self.body, self.text()).with_exit(self.exit())
    }

    fn exit(&self) -> Exit {
        match &self.outcome {
            Outcome::Complete { .. } => Exit::Done,
            Outcome::FailedMayHaveRun { .. } => Exit::Failed,
            Outcome::RefusedNotRun { .. } => Exit::Refused,
            Outcome::Cancelled { .. } => Exit::Cancelled,
            Outcome::Running => Exit::Pending,
            Outcome::Unknown { .. } => Exit::NotFound,
            Outcome::Conflict { .. } => Exit::Conflict,
            Outcome::Invalid { .. } => Exit::Usage,
            Outcome::Unavailable { .. } => Exit::Unreachable,
        }
    }

    fn text(&self) -> String {
        match &self.outcome {
            Outcome::Complete { results } => {
                format!("complete: {} tasks\n\n{}", results.len(), table(results))
            }
            Outcome::FailedMayHaveRun { reason, ran } => {
                format!(
                    "failed, may have run: {reason}\nran or may have run: {}",
                    join_ids(ran)
                )
            }
            Outcome::RefusedNotRun { reason } => format!("refused, not run: {reason}"),
            Outcome::Cancelled { ran, not_run } => format!(
                "cancelled\nran or may have run: {}\nnever ran: {}",
                join_ids(ran),
                join_ids(not_run)
            ),
            Outcome::Running => "running".to_owned(),
            Outcome::Unknown { reason } => format!("unknown: {reason}"),
            Outcome::Conflict { reason } => format!("conflict: {reason}"),
            Outcome::Invalid { field, reason } => format!("invalid, not run: `{field}`: {reason}"),
            Outcome::Unavailable { reason, .. } => format!("not taken in: {reason}"),
        }
    }
}

fn table(results: &[TaskResult]) -> Table {
    let head = Table::new(["task", "result"]);
    results.iter().fold(head, |table, item| {
        table.with_row([item.id.clone(), item.result.to_string()])
    })
}

fn join_ids(tasks: &[String]) -> String {
    if tasks.is_empty() {
        return "none".to_owned();
    }
    tasks.join(", ")
}
