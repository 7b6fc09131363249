//! State shared by the handlers: the limits and the channel for checked calls.

use crate::{Answer, Call, Error, Limit, Submission, body, reply};
use axum::body::Body;
use axum::response::Response;
use cassiarock_id::{Job, Name};
use cassiarock_server::{Intake, Terms};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The query string of requests that may wait for an answer.
#[derive(Deserialize)]
pub(super) struct Query {
    wait: Option<f64>,
}

impl Query {
    /// Returns the requested wait, or `None` if the query has none.
    pub(super) fn wait(&self, limit: &Limit) -> Result<Option<Duration>, Error> {
        let Some(seconds) = self.wait else {
            return Ok(None);
        };
        match Duration::try_from_secs_f64(seconds) {
            Ok(wait) if wait <= limit.deadline => Ok(Some(wait)),
            _ => {
                let reason = format!("it is not within 0 to {} s", limit.deadline.as_secs());
                Err(Error::field("wait", reason))
            }
        }
    }
}

/// The state of the handlers.
#[derive(Clone)]
pub(super) struct ApiState {
    pub(super) limit: Arc<Limit>,
    pub(super) calls: mpsc::Sender<Call>,
}

impl ApiState {
    /// Reads and parses a body. The time limit keeps slow callers from occupying all
    /// connections and buffers.
    pub(super) async fn read<T: DeserializeOwned>(
        &self,
        intake: &Intake,
        body: Body,
    ) -> Result<T, Error> {
        let terms = Terms {
            bytes: self.limit.body,
            idle: self.limit.receive,
            whole: self.limit.receive,
        };
        let content = intake.receive(body, &terms).await;
        body::parse(&content.map_err(read_error)?)
    }

    /// Submits a job and waits for its answer, without a time limit if `wait` is `None`.
    pub(super) async fn submit(&self, submission: Submission, wait: Option<Duration>) -> Response {
        let job = submission.job;
        let tasks: Vec<Name> = submission
            .tasks
            .iter()
            .map(|task| task.id.clone())
            .collect();
        let (sender, receiver) = oneshot::channel();
        if let Err(full) = self.send(Call::Submit(submission, sender)) {
            return reply::response(job, &full);
        }
        let answer = match wait {
            Some(wait) => tokio::time::timeout(wait, receiver)
                .await
                .unwrap_or(Ok(Answer::Running)),
            None => receiver.await,
        };
        reply::response(job, &answer.unwrap_or_else(|_| unanswered(tasks)))
    }

    /// Sends a find or cancel call and waits for its answer.
    pub(super) async fn call(
        &self,
        job: Job,
        call: impl FnOnce(oneshot::Sender<Answer>) -> Call,
    ) -> Response {
        let (sender, receiver) = oneshot::channel();
        if let Err(full) = self.send(call(sender)) {
            return reply::response(job, &full);
        }
        let answer = receiver.await.unwrap_or_else(|_| unavailable());
        reply::response(job, &answer)
    }

    /// Queues a call without blocking. If the channel is full, the caller is told to
    /// retry at once, since a longer queue would only delay every answer. This call has
    /// started nothing, but an earlier submission with the same id may have, so the
    /// answer is `Unavailable` and not `Refused`.
    fn send(&self, call: Call) -> Result<(), Answer> {
        self.calls.try_send(call).map_err(|_| unavailable())
    }
}

fn read_error(error: cassiarock_server::Error) -> Error {
    let broken = match error {
        cassiarock_server::Error::Oversized { limit } => return Error::Oversized { limit },
        cassiarock_server::Error::Stalled { limit } | cassiarock_server::Error::Slow { limit } => {
            return Error::Slow { limit };
        }
        cassiarock_server::Error::Full { limit } => return Error::Full { limit },
        cassiarock_server::Error::Broken(broken) => broken,
    };
    let first: &dyn std::error::Error = &broken;
    let causes = std::iter::successors(Some(first), |cause| cause.source());
    let reason = causes.clone().last().unwrap_or(first).to_string();
    let kinds = causes.filter_map(|cause| cause.downcast_ref::<io::Error>());
    if kinds.map(io::Error::kind).any(is_malformed) {
        return Error::Encoding { reason };
    }
    log::info!("cannot read a request body: {reason}");
    Error::Broken { reason }
}

/// Whether an error of this kind is the caller's, and not the connection's.
const fn is_malformed(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData
    )
}

fn unavailable() -> Answer {
    Answer::Unavailable {
        reason: "this entry takes no calls at the moment, not started by this submission"
            .to_owned(),
        retry_after: reply::RETRY_AFTER,
    }
}

/// The answer when the receiver of calls ended after it had taken the submission but
/// before it answered: any of the tasks may have run.
fn unanswered(tasks: Vec<Name>) -> Answer {
    Answer::Failed {
        reason: "the entry ended before it knew the answer".to_owned(),
        ran: tasks,
    }
}
