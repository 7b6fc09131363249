//! Jobs: submit, find, cancel.

use super::state::{ApiState, Query};
use crate::{Call, Error, Submission, body, reply};
use axum::body::Body;
use axum::extract::rejection::QueryRejection;
use axum::extract::{Path, Query as FromQuery, State};
use axum::http::StatusCode;
use axum::response::Response;
use cassiarock_id::Job;
use cassiarock_server::Intake;
use std::time::Duration;

pub(super) type WaitQuery = Result<FromQuery<Query>, QueryRejection>;

/// `POST /v1/jobs`
pub(super) async fn submit(
    State(state): State<ApiState>,
    query: WaitQuery,
    intake: Intake,
    body: Body,
) -> Response {
    match check(&state, query, &intake, body).await {
        Ok((submission, wait)) => state.submit(submission, wait).await,
        Err(error) => reply::error(&error),
    }
}

/// `GET /v1/jobs/{id}`
pub(super) async fn find(
    State(state): State<ApiState>,
    Path(path): Path<String>,
    query: WaitQuery,
) -> Response {
    let checked = wait(&state, query).and_then(|wait| Ok((id(&path)?, wait)));
    match checked {
        Ok((job, wait)) => {
            state
                .call(job, |answer| Call::Find(job, wait, answer))
                .await
        }
        Err(error) => reply::error(&error),
    }
}

/// `DELETE /v1/jobs/{id}`
pub(super) async fn cancel(State(state): State<ApiState>, Path(path): Path<String>) -> Response {
    let job = match id(&path) {
        Ok(job) => job,
        Err(error) => return reply::error(&error),
    };
    let mut response = state.call(job, |answer| Call::Cancel(job, answer)).await;
    // For the cancel request itself, a cancelled job is a success.
    if response.status() == StatusCode::GONE {
        *response.status_mut() = StatusCode::OK;
    }
    response
}

async fn check(
    state: &ApiState,
    query: WaitQuery,
    intake: &Intake,
    body: Body,
) -> Result<(Submission, Option<Duration>), Error> {
    let wait = wait(state, query)?;
    let job: body::Job = state.read(intake, body).await?;
    Ok((job.check(&state.limit)?, wait))
}

/// Returns the wait in the query, checked against the limit.
pub(super) fn wait(state: &ApiState, query: WaitQuery) -> Result<Option<Duration>, Error> {
    let FromQuery(query) =
        query.map_err(|rejection| Error::field("wait", rejection.body_text()))?;
    query.wait(&state.limit)
}

fn id(path: &str) -> Result<Job, Error> {
    path.parse()
        .map_err(|error: cassiarock_id::Error| Error::field("id", error.to_string()))
}
