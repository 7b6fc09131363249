//! Serves the state folded from the log to processes that cannot read the log.

use axum::extract::Query;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use cassiarock_rule::State;
use serde::Deserialize;
use std::sync::Arc;

#[derive(Deserialize)]
struct StateQuery {
    /// The `next` of the state that the requesting process has.
    after: Option<u64>,
}

/// The route `GET /state`: this process's state as JSON, or 204 if it has none, or none that is
/// newer than `?after=NEXT`. `state` gives the newest one.
///
/// ```
/// let router = cassiarock_process::state(|| Some(Default::default()));
/// assert!(router.has_routes());
/// ```
pub fn state(state: impl Fn() -> Option<Arc<State>> + Clone + Send + Sync + 'static) -> Router {
    let answer = |Query(known): Query<StateQuery>| async move { newer(state(), &known) };
    Router::new().route("/state", get(answer))
}

fn newer(state: Option<Arc<State>>, known: &StateQuery) -> Response {
    match state.filter(|state| known.after.is_none_or(|after| state.next > after)) {
        Some(state) => Json(state).into_response(),
        None => StatusCode::NO_CONTENT.into_response(),
    }
}
