//! Single requests.

use super::job::{WaitQuery, wait};
use super::state::ApiState;
use crate::{Error, Submission, body, reply};
use axum::body::Body;
use axum::extract::State;
use axum::response::Response;
use cassiarock_server::Intake;
use std::time::Duration;

/// `POST /v1/requests`
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

async fn check(
    state: &ApiState,
    query: WaitQuery,
    intake: &Intake,
    body: Body,
) -> Result<(Submission, Option<Duration>), Error> {
    let wait = wait(state, query)?;
    let request: body::Request = state.read(intake, body).await?;
    Ok((request.check(&state.limit)?, wait))
}
