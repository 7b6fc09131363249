//! Outcomes as status, headers and body.

use crate::support::{Api, id, job, read, reply};
use cassiarock_caller::{Answer, Call, Limit, Output};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use yare::parameterized;

fn output(id: &str, value: &str) -> Output {
    Output {
        id: id.into(),
        value: value.as_bytes().into(),
    }
}

fn refused() -> Answer {
    Answer::Refused {
        reason: "the queue is full".to_owned(),
        retry_after: Duration::from_millis(1200),
    }
}

#[parameterized(
    complete = {
        Answer::Complete { results: vec![output("a", "{\"x\": 1.50}"), output("b", "7")] }, 200,
        json!({ "outcome": "complete",
            "results": [{ "id": "a", "result": { "x": 1.50 } }, { "id": "b", "result": 7 }] })
    },
    failed = {
        Answer::Failed { reason: "lost".to_owned(), ran: vec!["a".into()] }, 502,
        json!({ "outcome": "failed_may_have_run", "reason": "lost", "ran": ["a"] })
    },
    a_refusal = {
        refused(), 503,
        json!({ "outcome": "refused_not_run", "reason": "the queue is full", "retry_after_s": 2 })
    },
    cancelled = {
        Answer::Cancelled { ran: vec!["a".into()], not_run: vec!["b".into()] }, 410,
        json!({ "outcome": "cancelled", "ran": ["a"], "not_run": ["b"] })
    },
    running = { Answer::Running, 202, json!({ "outcome": "running" }) },
    unknown = {
        Answer::Unknown, 404,
        json!({ "outcome": "unknown", "reason": "unknown, not started by this submission" })
    },
    conflict = {
        Answer::Conflict, 409,
        json!({ "outcome": "conflict",
            "reason": "the id is in use for other content, not started by this submission" })
    },
    invalid = {
        Answer::Invalid { field: "kind".to_owned(), reason: "no rule knows it".to_owned() }, 422,
        json!({ "outcome": "invalid", "field": "kind", "reason": "no rule knows it" })
    },
    unavailable = {
        Answer::Unavailable { reason: "leaving".to_owned(), retry_after: Duration::ZERO }, 429,
        json!({ "outcome": "unavailable", "reason": "leaving", "retry_after_s": 0 })
    },
)]
#[test_macro(tokio::test)]
async fn each_outcome_has_its_own_status_and_body(answer: Answer, status: u16, body: Value) {
    let mut body = body;
    let api = Api::answering(Limit::default(), answer).await;
    let job = job();
    body["id"] = job["id"].clone();
    let response = api.post("/v1/jobs").json(&job).send().await.unwrap();
    assert_eq!(read(response).await, (status, body));
}

#[tokio::test]
async fn a_refusal_says_in_its_header_when_to_retry() {
    let api = Api::answering(Limit::default(), refused()).await;
    let response = api.post("/v1/jobs").json(&job()).send().await.unwrap();
    assert_eq!(response.headers()["retry-after"], "2");
}

/// Guards against a 200 with one of two results missing: a worker's result was damaged
/// in the entry, and the answer was built from the remaining ones.
#[tokio::test]
async fn a_result_that_is_not_json_fails_the_whole_answer() {
    let results = vec![output("a", "1"), output("b", "{")];
    let api = Api::answering(Limit::default(), Answer::Complete { results }).await;
    let response = api.post("/v1/jobs").json(&job()).send().await.unwrap();
    let (status, body) = read(response).await;
    assert_eq!(
        (status, &body["outcome"], &body["ran"]),
        (502, &json!("failed_may_have_run"), &json!(["a", "b"]))
    );
}

/// Guards against a "not run" answer for a job that ran, after which the caller pays
/// twice: the receiver of calls ends while it holds the submission, so the router cannot
/// know what ran.
#[tokio::test]
async fn an_unanswered_submission_may_have_run() {
    let api = Api::new(Limit::default(), drop).await;
    let response = api.post("/v1/jobs").json(&job()).send().await.unwrap();
    let (status, body) = read(response).await;
    assert_eq!(status, 502);
    assert_eq!(body["ran"], json!(["a", "b"]));
}

/// Guards against "refused, not run" for the resubmission of a running job, which then
/// completes: an entry with a full queue knows nothing of the first submission, so its
/// answer must not cover it.
#[tokio::test]
async fn a_full_queue_is_not_a_refusal() {
    let (hold, mut held) = mpsc::unbounded_channel();
    let api = Api::new(Limit::default(), move |call| {
        hold.send(call).unwrap();
        std::thread::sleep(Duration::from_millis(200));
    })
    .await;
    let burst = (0..12).map(|_| api.post("/v1/jobs?wait=0").json(&job()).send());
    let mut outcomes = Vec::new();
    for request in burst.map(tokio::spawn).collect::<Vec<_>>() {
        outcomes.push(read(request.await.unwrap().unwrap()).await);
    }
    let count = |status| outcomes.iter().filter(|(its, _)| *its == status).count();
    assert!(count(429) > 0, "{outcomes:?}");
    assert_eq!(count(429) + count(202), 12, "{outcomes:?}");
    assert!(held.try_recv().is_ok());
}

#[parameterized(
    polling = { "0", 0 },
    waiting_briefly = { "0.05", 50 },
)]
#[test_macro(tokio::test)]
async fn a_submission_waits_as_long_as_it_is_asked_to(wait: &str, least: u64) {
    let (hold, _held) = mpsc::unbounded_channel();
    let api = Api::new(Limit::default(), move |call| hold.send(call).unwrap()).await;
    let began = std::time::Instant::now();
    let path = format!("/v1/jobs?wait={wait}");
    let response = api.post(&path).json(&job()).send().await.unwrap();
    assert_eq!(read(response).await.0, 202);
    assert!(began.elapsed() >= Duration::from_millis(least));
}

#[parameterized(
    negative = { "-1" },
    too_long = { "301" },
    not_a_number = { "soon" },
)]
#[test_macro(tokio::test)]
async fn a_bad_wait_is_named(wait: &str) {
    let api = Api::answering(Limit::default(), Answer::Running).await;
    let path = format!("/v1/jobs?wait={wait}");
    let response = api.post(&path).json(&job()).send().await.unwrap();
    let (status, body) = read(response).await;
    assert_eq!((status, &body["field"]), (422, &json!("wait")));
    assert_eq!(api.calls(), 0);
}

#[tokio::test]
async fn find_passes_the_wait_on() {
    let api = Api::new(Limit::default(), |call| match call {
        Call::Find(_, Some(wait), answer) if wait == Duration::from_millis(1500) => {
            let _ = answer.send(Answer::Running);
        }
        other => reply(other, Answer::Unknown),
    })
    .await;
    let url = api.url(&format!("/v1/jobs/{}", id()));
    let waiting = reqwest::get(format!("{url}?wait=1.5")).await.unwrap();
    let polling = reqwest::get(url).await.unwrap();
    assert_eq!(
        (waiting.status().as_u16(), polling.status().as_u16()),
        (202, 404)
    );
}

#[tokio::test]
async fn cancelling_a_job_returns_success() {
    let answer = Answer::Cancelled {
        ran: vec!["a".into()],
        not_run: Vec::new(),
    };
    let api = Api::answering(Limit::default(), answer).await;
    let url = api.url(&format!("/v1/jobs/{}", id()));
    let response = reqwest::Client::new().delete(url).send().await.unwrap();
    let (status, body) = read(response).await;
    assert_eq!((status, &body["outcome"]), (200, &json!("cancelled")));
}

/// Guards against a lost booking when the caller's connection drops while it runs: the
/// entry must not treat a closed connection as a cancellation.
#[tokio::test]
async fn a_dropped_connection_cancels_nothing() {
    let (seen, calls) = std::sync::mpsc::channel();
    let (finish, finished) = oneshot::channel::<()>();
    let mut finished = Some(finished);
    let api = Api::new(Limit::default(), move |call| {
        let seen = seen.clone();
        let finished = finished.take();
        tokio::spawn(async move {
            if let Some(finished) = finished {
                let _ = finished.await;
            }
            let _ = seen.send(matches!(call, Call::Submit(..)));
        });
    })
    .await;
    let request = api.post("/v1/jobs").json(&job());
    let sent = request.timeout(Duration::from_millis(100)).send().await;
    assert!(sent.unwrap_err().is_timeout());
    finish.send(()).unwrap();
    let submit = tokio::task::spawn_blocking(move || (calls.recv().unwrap(), calls.try_recv()));
    assert!(matches!(submit.await.unwrap(), (true, Err(_))));
    assert_eq!(api.calls(), 1);
}
