//! Answers and errors as HTTP responses.

use crate::{Answer, Error, Output};
use axum::Json;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use cassiarock_id::{Job, Name};
use serde::Serialize;
use serde_json::value::RawValue;
use std::time::Duration;

/// Suggested retry delay of a request that was not taken. The usual cause, a full queue of
/// calls, is over in milliseconds, but `Retry-After` has a resolution of one second.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The body of every response. Its tag is the outcome, which the status repeats.
#[derive(Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
enum Body<'a> {
    Complete {
        results: Vec<Item<'a>>,
    },
    FailedMayHaveRun {
        reason: &'a str,
        ran: &'a [Name],
    },
    RefusedNotRun {
        reason: &'a str,
        retry_after_s: u64,
    },
    Cancelled {
        ran: &'a [Name],
        not_run: &'a [Name],
    },
    Running,
    Unknown {
        reason: &'a str,
    },
    Conflict {
        reason: &'a str,
    },
    Invalid {
        field: &'a str,
        reason: &'a str,
    },
    Unavailable {
        reason: &'a str,
        retry_after_s: u64,
    },
}

impl Body<'_> {
    /// The outcome as a label.
    const fn outcome(&self) -> &'static str {
        match self {
            Self::Complete { .. } => "complete",
            Self::FailedMayHaveRun { .. } => "failed_may_have_run",
            Self::RefusedNotRun { .. } => "refused_not_run",
            Self::Cancelled { .. } => "cancelled",
            Self::Running => "running",
            Self::Unknown { .. } => "unknown",
            Self::Conflict { .. } => "conflict",
            Self::Invalid { .. } => "invalid",
            Self::Unavailable { .. } => "unavailable",
        }
    }
}

#[derive(Serialize)]
struct Item<'a> {
    id: &'a str,
    result: &'a RawValue,
}

/// A body with the job's id beside the outcome.
#[derive(Serialize)]
struct Envelope<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    id: Option<Job>,
    #[serde(flatten)]
    body: Body<'a>,
}

/// The response to a call about `job`.
pub(crate) fn response(job: Job, answer: &Answer) -> Response {
    let (status, body) = match answer {
        Answer::Complete { results } => match items(results) {
            Some(results) => (StatusCode::OK, Body::Complete { results }),
            None => return response(job, &invalid_result(results)),
        },
        Answer::Failed { reason, ran } => (
            StatusCode::BAD_GATEWAY,
            Body::FailedMayHaveRun { reason, ran },
        ),
        Answer::Refused {
            reason,
            retry_after,
        } => (
            StatusCode::SERVICE_UNAVAILABLE,
            Body::RefusedNotRun {
                reason,
                retry_after_s: seconds(*retry_after),
            },
        ),
        Answer::Cancelled { ran, not_run } => (StatusCode::GONE, Body::Cancelled { ran, not_run }),
        Answer::Running => (StatusCode::ACCEPTED, Body::Running),
        Answer::Unknown => (
            StatusCode::NOT_FOUND,
            Body::Unknown {
                reason: "unknown, not started by this submission",
            },
        ),
        Answer::Conflict => (
            StatusCode::CONFLICT,
            Body::Conflict {
                reason: "the id is in use for other content, not started by this submission",
            },
        ),
        Answer::Invalid { field, reason } => (
            StatusCode::UNPROCESSABLE_ENTITY,
            Body::Invalid { field, reason },
        ),
        Answer::Unavailable {
            reason,
            retry_after,
        } => (
            StatusCode::TOO_MANY_REQUESTS,
            Body::Unavailable {
                reason,
                retry_after_s: seconds(*retry_after),
            },
        ),
    };
    with_retry(status, Some(job), body)
}

/// The response to a request that fails its checks.
pub(crate) fn error(error: &Error) -> Response {
    let reason = error.to_string();
    let body = match error {
        Error::Full { .. } | Error::Broken { .. } => Body::Unavailable {
            reason: &reason,
            retry_after_s: seconds(RETRY_AFTER),
        },
        _ => Body::Invalid {
            field: error.place(),
            reason: &reason,
        },
    };
    with_retry(error.status(), None, body)
}

fn with_retry(status: StatusCode, id: Option<Job>, body: Body<'_>) -> Response {
    metrics::counter!("cassiarock_caller_answers_total", "outcome" => body.outcome()).increment(1);
    let retry = match &body {
        Body::RefusedNotRun { retry_after_s, .. } | Body::Unavailable { retry_after_s, .. } => {
            Some(*retry_after_s)
        }
        _ => None,
    };
    let response = (status, Json(Envelope { id, body }));
    match retry {
        Some(after) => ([(header::RETRY_AFTER, after.to_string())], response).into_response(),
        None => response.into_response(),
    }
}

/// Parses the results as JSON. Returns `None` if any of them is not JSON, since partial
/// results are never sent.
fn items(results: &[Output]) -> Option<Vec<Item<'_>>> {
    results.iter().map(item).collect()
}

fn item(output: &Output) -> Option<Item<'_>> {
    let result = serde_json::from_slice(&output.value).ok()?;
    Some(Item {
        id: &output.id,
        result,
    })
}

fn invalid_result(results: &[Output]) -> Answer {
    Answer::Failed {
        reason: "a result is not JSON".to_owned(),
        ran: results.iter().map(|output| output.id.clone()).collect(),
    }
}

/// Whole seconds, rounded up: `Retry-After` has no fractions.
fn seconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis().div_ceil(1000)).unwrap_or(u64::MAX)
}
