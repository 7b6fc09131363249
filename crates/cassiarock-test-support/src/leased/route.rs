//! The orders that an upstream takes.

use super::state::{Refusal, State as Tasks};
use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::http::{HeaderMap, StatusCode};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use futures_util::TryStreamExt;
use serde::Deserialize;
use serde_json::json;
use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

type Shared = Arc<Mutex<Tasks>>;

/// The header with the id of the upstream that a call is meant for. Any other refuses it.
const EXPECTED_INSTANCE: &str = "expected-instance";

/// How long a task runs whose text does not say.
const LASTS: Duration = Duration::from_millis(50);

pub async fn serve(listener: TcpListener, tasks: Shared) {
    let router = Router::new()
        .route("/v1/run-start", post(start))
        .route("/v1/run-stop", post(stop))
        .route("/v1/hold", post(poll))
        .layer(from_fn_with_state(tasks.clone(), suffer))
        .with_state(tasks);
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    // Serving ends only with the upstream.
    let _ = axum::serve(listener, router).await;
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Start {
    task: String,
    attempt: u32,
    spec: String,
    deadline_ms: u64,
    #[serde(default)]
    fencing_token: u64,
}

#[derive(Deserialize)]
struct Stop {
    task: String,
    attempt: u32,
    #[serde(default, rename = "fencingToken")]
    fence: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Poll {
    last_seen: u64,
    deadline_ms: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
    #[serde(default)]
    fencing_token: u64,
}

fn lock(tasks: &Shared) -> MutexGuard<'_, Tasks> {
    tasks.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn suffer(State(tasks): State<Shared>, request: Request, next: Next) -> Response {
    if lock(&tasks).fault.is_mute {
        return std::future::pending().await;
    }
    let expected = request.headers().get(EXPECTED_INSTANCE);
    if expected.is_some_and(|expected| *expected != *lock(&tasks).name()) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    next.run(request).await
}

async fn start(State(tasks): State<Shared>, _: HeaderMap, Json(start): Json<Start>) -> Response {
    let Some(task) = parse(&start.task) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let lasts = lasts(&start.spec);
    let late = {
        let fault = &mut lock(&tasks).fault;
        let is_late = fault.unanswered > 0;
        fault.unanswered = fault.unanswered.saturating_sub(1);
        is_late.then_some(fault.late)
    };
    if let Some(late) = late {
        tokio::spawn(async move {
            sleep(late).await;
            // Whatever comes of it, nobody hears.
            let _ = lock(&tasks).start(
                task,
                start.attempt,
                lasts,
                start.deadline_ms,
                start.fencing_token,
            );
        });
        return std::future::pending().await;
    }
    let mut tasks = lock(&tasks);
    let outcome = tasks.start(
        task,
        start.attempt,
        lasts,
        start.deadline_ms,
        start.fencing_token,
    );
    let clock = tasks.clock();
    match outcome {
        Ok(()) => Json(json!({ "clockMs": clock })).into_response(),
        Err(refusal) => {
            let reason = match refusal {
                Refusal::Fence => "fence",
                Refusal::Old => "old",
                Refusal::Late => "late",
                Refusal::Room => "room",
            };
            let body = Json(json!({ "clockMs": clock, "reason": reason }));
            (StatusCode::CONFLICT, body).into_response()
        }
    }
}

async fn stop(State(tasks): State<Shared>, Json(stop): Json<Stop>) -> Response {
    let Some(task) = parse(&stop.task) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let mut tasks = lock(&tasks);
    if !tasks.admit(stop.fence) {
        return fenced(&tasks);
    }
    tasks.stop(&task, stop.attempt);
    Json(json!({ "clockMs": tasks.clock() })).into_response()
}

async fn poll(State(tasks): State<Shared>, Json(poll): Json<Poll>) -> Response {
    if lock(&tasks).fault.is_endless {
        let spaces = futures_util::stream::repeat_with(|| Ok::<_, Infallible>([b' '; 4_096]));
        return Body::from_stream(spaces.map_ok(Bytes::from_owner)).into_response();
    }
    let until = Instant::now() + Duration::from_millis(poll.wait_ms);
    let mut changed = {
        let mut tasks = lock(&tasks);
        if !tasks.admit(poll.fencing_token) {
            return fenced(&tasks);
        }
        tasks.renew(poll.deadline_ms);
        tasks.changed.subscribe()
    };
    while !lock(&tasks).has_ended(poll.last_seen) {
        if !matches!(timeout_at(until, changed.changed()).await, Ok(Ok(()))) {
            break;
        }
    }
    let mut tasks = lock(&tasks);
    let (running, ended) = tasks.snapshot(poll.last_seen);
    let running = running.iter().map(|((job, (stage, index)), attempt)| {
        json!([format!("{job}.0.{stage}.{index}"), attempt, "", 0, 1_000])
    });
    let ended = ended.iter().map(|end| {
        let (job, (stage, index)) = &end.task;
        let task = format!("{job}.0.{stage}.{index}");
        json!([end.number, task, end.attempt, end.how, ""])
    });
    let running: Vec<_> = running.collect();
    let ended: Vec<_> = ended.collect();
    let (clock, born) = (tasks.clock(), tasks.born);
    Json(json!({ "clockMs": clock, "born": born, "running": running, "finished": ended }))
        .into_response()
}

fn fenced(tasks: &Tasks) -> Response {
    let body = Json(json!({ "clockMs": tasks.clock(), "reason": "fence" }));
    (StatusCode::CONFLICT, body).into_response()
}

fn parse(task: &str) -> Option<super::state::Name> {
    let parts: Vec<&str> = task.split('.').collect();
    let [job, _, stage, index] = parts[..] else {
        return None;
    };
    Some((job.to_owned(), (stage.parse().ok()?, index.parse().ok()?)))
}

/// A task's text may begin with how long it lasts: `ms=60`.
fn lasts(spec: &str) -> Duration {
    let digits = spec.strip_prefix("ms=").map(|rest| {
        let end = rest.find(|c: char| !c.is_ascii_digit());
        &rest[..end.unwrap_or(rest.len())]
    });
    let millis = digits.and_then(|digits| digits.parse().ok());
    millis.map_or(LASTS, Duration::from_millis)
}
