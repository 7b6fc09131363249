//! Tests of `submit` and `cancel` against fake entries.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use axum::body::Bytes;
use axum::http::StatusCode;
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use cassiarock_operator::{Action, Error, Exit, Report, Submit, execute};
use cassiarock_settings::Client;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use yare::parameterized;

const JOB: &str = "019b2f4e-7a00-7000-8000-000000000001";

fn client(entries: impl IntoIterator<Item = String>) -> Client {
    let mut client = Client::new("ana", "http://127.0.0.1:1").with_entries(entries);
    client.timeout = Duration::from_millis(500);
    client
}

/// A temporary file with a job, deleted on drop.
struct JobFile(PathBuf);

impl JobFile {
    fn new(name: &str, job: &Value) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}.jsonc", std::process::id()));
        std::fs::write(&path, job.to_string()).unwrap();
        Self(path)
    }

    fn submit(&self) -> Action {
        Action::Submit(Submit {
            detach: false,
            file: self.0.clone(),
        })
    }
}

impl Drop for JobFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn job() -> Value {
    json!({ "id": JOB, "kind": "seat-check", "team": "desk", "deadline_ms": 500, "tasks": [] })
}

async fn serve(router: Router) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    format!("http://{address}")
}

/// Starts an entry that answers every submission with `status` and `body`.
async fn entry(status: u16, body: Value) -> String {
    let answer = move || async move { (StatusCode::from_u16(status).unwrap(), Json(body)) };
    serve(Router::new().route("/v1/jobs", post(answer))).await
}

/// Starts an entry that reads each request and closes the connection without a response.
async fn crashing_entry() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.readable().await.unwrap();
            let _ = stream.try_read(&mut [0; 1024]);
        }
    });
    format!("http://{address}")
}

async fn unreachable_entry() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    format!("http://{}", listener.local_addr().unwrap())
}

fn exit(outcome: Result<Report, Error>) -> Exit {
    outcome.map_or_else(|error| error.exit(), |report| report.exit)
}

#[parameterized(
    complete = { 200, json!({ "outcome": "complete", "results": [{ "id": "a", "result": 1 }] }), Exit::Done },
    failed = { 502, json!({ "outcome": "failed_may_have_run", "reason": "lost", "ran": ["a"] }), Exit::Failed },
    refused = { 503, json!({ "outcome": "refused_not_run", "reason": "full", "retry_after_s": 1 }), Exit::Refused },
    cancelled = { 410, json!({ "outcome": "cancelled", "ran": [], "not_run": ["a"] }), Exit::Cancelled },
    conflict = { 409, json!({ "outcome": "conflict", "reason": "other content" }), Exit::Conflict },
    unknown = { 404, json!({ "outcome": "unknown", "reason": "too old" }), Exit::NotFound },
    invalid = { 422, json!({ "outcome": "invalid", "field": "team", "reason": "empty" }), Exit::Usage },
    invalid_response = { 200, json!({ "hello": "stranger" }), Exit::Failed },
)]
fn each_outcome_has_its_exit_code(status: u16, body: Value, expected: Exit) {
    let file = JobFile::new(&format!("outcome-{status}-{expected:?}"), &job());
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let outcome = runtime
        .block_on(async { execute(&client([entry(status, body).await]), &file.submit()).await });
    assert_eq!(exit(outcome), expected);
}

// The entry accepts the job and crashes before it answers. The operator still gets the
// answer, because the client submits the job to the next entry under the same id.
#[tokio::test]
async fn a_job_whose_entry_crashes_is_submitted_to_the_next_under_its_id() {
    let file = JobFile::new("dying", &job());
    let seen = Arc::new(Mutex::new(Vec::new()));
    let received = Arc::clone(&seen);
    let answer = move |body: Bytes| async move {
        received
            .lock()
            .unwrap()
            .push(serde_json::from_slice::<Value>(&body).unwrap());
        Json(json!({ "outcome": "complete", "results": [] }))
    };
    let next = serve(Router::new().route("/v1/jobs", post(answer))).await;
    let outcome = execute(&client([crashing_entry().await, next]), &file.submit()).await;
    assert_eq!(exit(outcome), Exit::Done);
    assert_eq!(*seen.lock().unwrap(), [job()]);
}

// Every entry that accepted the job crashed, so it is unknown whether it ran. If the client
// reported "unreachable, nothing was done", the operator would submit it again, and a payment
// would be made twice.
#[tokio::test]
async fn a_job_that_was_sent_and_never_answered_may_have_run() {
    let file = JobFile::new("lost", &job());
    let error = execute(
        &client([crashing_entry().await, unreachable_entry().await]),
        &file.submit(),
    )
    .await
    .unwrap_err();
    assert_eq!(error.exit(), Exit::Failed);
    assert!(error.to_string().contains(JOB), "{error}");
}

#[tokio::test]
async fn a_job_is_unreachable_when_all_entries_are_down() {
    let file = JobFile::new("down", &job());
    let outcome = execute(
        &client([unreachable_entry().await, unreachable_entry().await]),
        &file.submit(),
    )
    .await;
    assert_eq!(exit(outcome), Exit::Unreachable);
}

#[tokio::test]
async fn a_running_job_is_polled_until_it_ends() {
    let file = JobFile::new("polled", &job());
    let running = || async { (StatusCode::ACCEPTED, Json(json!({ "outcome": "running" }))) };
    let ended = || async { Json(json!({ "outcome": "complete", "results": [] })) };
    let router = Router::new()
        .route("/v1/jobs", post(running))
        .route(&format!("/v1/jobs/{JOB}"), get(ended));
    let outcome = execute(&client([serve(router).await]), &file.submit()).await;
    assert_eq!(exit(outcome), Exit::Done);
}

// The entry accepts the job and is replaced; its successor at the same address does not know
// the job. Reported as "unknown", a running job would appear never to have existed.
#[tokio::test]
async fn a_job_whose_entry_was_replaced_is_submitted_again() {
    let file = JobFile::new("replaced", &job());
    let posts = Arc::new(AtomicUsize::new(0));
    let submit = move || async move {
        match posts.fetch_add(1, Ordering::Relaxed) {
            0 => Json(json!({ "outcome": "running" })),
            _ => Json(json!({ "outcome": "complete", "results": [] })),
        }
    };
    let unknown = || async { Json(json!({ "outcome": "unknown", "reason": "never heard of" })) };
    let router = Router::new()
        .route("/v1/jobs", post(submit))
        .route(&format!("/v1/jobs/{JOB}"), get(unknown));
    let outcome = execute(&client([serve(router).await]), &file.submit()).await;
    assert_eq!(exit(outcome), Exit::Done);
}

#[tokio::test]
async fn a_job_with_an_invalid_id_is_not_sent() {
    let mut wrong = job();
    wrong["id"] = json!("7");
    let file = JobFile::new("bad-id", &wrong);
    let error = execute(&client([unreachable_entry().await]), &file.submit())
        .await
        .unwrap_err();
    assert_eq!(error.exit(), Exit::Usage);
    assert!(error.to_string().contains("field `id`"), "{error}");
}

#[tokio::test]
async fn a_cancelled_job_shows_what_ran() {
    let answer =
        || async { Json(json!({ "outcome": "cancelled", "ran": ["a"], "not_run": ["b"] })) };
    let router = Router::new().route(&format!("/v1/jobs/{JOB}"), delete(answer));
    let client = client([unreachable_entry().await, serve(router).await]);
    let report = execute(&client, &Action::Cancel(JOB.parse().unwrap()))
        .await
        .unwrap();
    assert!(report.text.contains("never ran: b"), "{}", report.text);
}
