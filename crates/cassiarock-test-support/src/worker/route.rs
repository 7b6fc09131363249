//! The stand-in's HTTP routes.

use super::Fault;
use super::state::State;
use axum::body::{Body, Bytes};
use axum::extract::{Path, State as Shared};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use cassiarock_id::{Job, Task};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Value, json};
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

/// What a running task is reported to use.
const MEMORY: u64 = 64 << 20;

#[derive(Deserialize)]
struct Start {
    job: Job,
    task: Task,
    round: u32,
    payload: Payload,
}

/// Other members of a payload are passed over.
#[derive(Deserialize)]
struct Payload {
    #[serde(default)]
    run_ms: u64,
    #[serde(default)]
    echo: Option<Box<RawValue>>,
    #[serde(default)]
    fail: Option<String>,
}

#[derive(Serialize)]
struct Ended<'a> {
    job: Job,
    task: Task,
    round: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<&'a RawValue>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<&'a str>,
}

/// Serves until the runtime ends.
pub(super) async fn serve(listener: TcpListener, state: Arc<State>) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let router = Router::new()
        .route("/v1/tasks", post(start))
        .route("/v1/tasks/{job}/{task}", delete(stop))
        .route("/v1/health", get(health))
        .route("/v1/usage", get(usage))
        .with_state(state);
    axum::serve(listener, router).await
}

async fn start(Shared(state): Shared<Arc<State>>, Json(start): Json<Start>) -> Response {
    let running = state.start((start.job, start.task), start.round);
    if state.fault() == Fault::FailFast {
        return ended(&start, None, Some("the stand-in fails everything"));
    }
    let stopped = tokio::select! {
        () = tokio::time::sleep(duration(&state, &start)) => false,
        () = running.stop.notified() => true,
    };
    state.hang().await;
    drop(running);
    if stopped {
        return ended(&start, None, Some("stopped"));
    }
    match state.fault() {
        Fault::Crash => crash(),
        Fault::Garbage => "\u{1}<garbage".into_response(),
        Fault::Truncate => truncate(&start),
        Fault::Cross => ended(&crossed(start), Some(&null()), None),
        _ => finish(&start),
    }
}

async fn stop(
    Shared(state): Shared<Arc<State>>,
    Path((job, task)): Path<(Job, Task)>,
) -> StatusCode {
    state.hang().await;
    if state.stop((job, task)) {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    }
}

async fn health(Shared(state): Shared<Arc<State>>) -> Json<Value> {
    state.hang().await;
    Json(json!({ "healthy": true, "leaving": state.leaving() }))
}

async fn usage(Shared(state): Shared<Arc<State>>) -> Json<Value> {
    state.hang().await;
    let running = state.reported();
    Json(json!({
        "running": running,
        "cores": running as f64,
        "memory": running as u64 * MEMORY,
    }))
}

fn duration(state: &State, start: &Start) -> Duration {
    let declared = Duration::from_millis(start.payload.run_ms);
    match state.fault() {
        Fault::Slow(factor) => declared.mul_f64(factor),
        _ => declared,
    }
}

fn finish(start: &Start) -> Response {
    if let Some(error) = &start.payload.fail {
        return ended(start, None, Some(error));
    }
    let null = null();
    let echo = start.payload.echo.as_ref().unwrap_or(&null);
    ended(start, Some(echo), None)
}

fn ended(start: &Start, result: Option<&RawValue>, error: Option<&str>) -> Response {
    let ended = Ended {
        job: start.job,
        task: start.task,
        round: start.round,
        result,
        error,
    };
    Json(ended).into_response()
}

/// Closes the connection: the server drops it when its handler unwinds.
fn crash() -> Response {
    std::panic::resume_unwind(Box::new("the stand-in crashes"))
}

fn crossed(mut start: Start) -> Start {
    start.task = Task(start.task.0.wrapping_add(1));
    start
}

/// Half of the answer under a length that promises the whole.
fn truncate(start: &Start) -> Response {
    let text = format!(r#"{{"job":"{}","task":{},"#, start.job, start.task);
    let promised = text.len() * 2;
    let parts = [
        Ok(Bytes::from(text)),
        Err(io::Error::other("the stand-in breaks off")),
    ];
    let body = Body::from_stream(futures_util::stream::iter(parts));
    ([("content-length", promised.to_string())], body).into_response()
}

fn null() -> Box<RawValue> {
    RawValue::NULL.to_owned()
}
