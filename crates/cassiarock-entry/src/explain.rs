//! `POST /explain`: which rule would decide a request, and why.

use crate::actor::Input;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::post;
use axum::{Json, Router};
use cassiarock_id::Name;
use cassiarock_rule::request::Resources;
use cassiarock_rule::{Explanation, Request};
use serde::Deserialize;
use tokio::sync::{mpsc, oneshot};

/// The body of `POST /explain`: the request whose decision is to be explained.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct Question")] // part of the answer to a malformed body
struct ExplainRequest {
    kind: Name,
    team: Name,
    #[serde(default = "default_tasks")]
    tasks: u32,
    #[serde(default)]
    cores: u32,
    #[serde(default)]
    memory_mb: u32,
    #[serde(default)]
    accelerators: u32,
    #[serde(default)]
    repeatable: bool,
}

/// The route. It asks the actor, which holds the rules in force and the loads.
pub(crate) fn router(inputs: mpsc::Sender<Input>) -> Router {
    Router::new()
        .route("/explain", post(explain))
        .with_state(inputs)
}

async fn explain(
    State(inputs): State<mpsc::Sender<Input>>,
    Json(body): Json<ExplainRequest>,
) -> Result<Json<Explanation>, StatusCode> {
    let (reply, answer) = oneshot::channel();
    let input = Input::Explain(body.request(), reply);
    if inputs.send(input).await.is_err() {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let answer = answer.await;
    answer
        .map(Json)
        .map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
}

impl ExplainRequest {
    fn request(self) -> Request {
        let need = Resources {
            cores: self.cores,
            memory: self.memory_mb,
            accelerators: self.accelerators,
        };
        Request::new(self.kind)
            .with_team(self.team)
            .with_task_count(self.tasks)
            .with_need(need)
            .with_repeatable(self.repeatable)
    }
}

const fn default_tasks() -> u32 {
    1
}
