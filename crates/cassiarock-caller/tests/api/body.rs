//! The checks of request bodies.

use crate::support::{Api, job, read, reply};
use cassiarock_caller::{Answer, Call, Limit, Submission};
use serde_json::{Value, json};
use std::sync::mpsc;
use std::time::Duration;
use yare::parameterized;

fn tasks(count: usize) -> Value {
    (0..count)
        .map(|index| json!({ "id": format!("task-{index}"), "payload": null }))
        .collect()
}

#[parameterized(
    a_missing_kind = { "/kind", None, 400, "." },
    a_missing_payload = { "/tasks/1/payload", None, 400, "tasks[1]" },
    a_wrong_type = { "/tasks/0/id", Some(json!(5)), 400, "tasks[0].id" },
    an_unknown_field = { "/prio", Some(json!(5)), 400, "prio" },
    a_negative_deadline = { "/deadline_ms", Some(json!(-1)), 400, "deadline_ms" },
    no_deadline = { "/deadline_ms", Some(json!(0)), 422, "deadline_ms" },
    a_far_deadline = { "/deadline_ms", Some(json!(300_001)), 422, "deadline_ms" },
    an_endless_deadline = { "/deadline_ms", Some(json!(u64::MAX)), 422, "deadline_ms" },
    no_id = { "/id", None, 422, "id" },
    a_malformed_id = { "/id", Some(json!("booking-5")), 422, "id" },
    an_id_without_time = { "/id", Some(json!("936da01f-9abd-4d9d-80c7-02af85c822a8")), 422, "id" },
    an_empty_kind = { "/kind", Some(json!("")), 422, "kind" },
    a_long_team = { "/team", Some(json!("x".repeat(129))), 422, "team" },
    a_control_character = { "/tasks/0/id", Some(json!("a\nb")), 422, "tasks[0].id" },
    no_task = { "/tasks", Some(json!([])), 422, "tasks" },
    too_many_tasks = { "/tasks", Some(tasks(861)), 422, "tasks" },
    a_duplicate_task = { "/tasks/1/id", Some(json!("a")), 422, "tasks[1].id" },
    negative_cores = { "/tasks/0/need", Some(json!({ "cores": -1 })), 422, "tasks[0].need.cores" },
)]
#[test_macro(tokio::test)]
async fn a_faulty_field_is_named_and_starts_nothing(
    path: &str,
    value: Option<Value>,
    status: u16,
    field: &str,
) {
    let mut body = job();
    set(&mut body, path, value);
    let api = Api::answering(Limit::default(), Answer::Running).await;
    let response = api.post("/v1/jobs").json(&body).send().await.unwrap();
    let (got, body) = read(response).await;
    assert_eq!((got, &body["field"]), (status, &json!(field)), "{body}");
    assert_eq!(body["outcome"], "invalid");
    assert_eq!(api.calls(), 0);
}

#[parameterized(
    empty = { "" },
    cut = { r#"{"id": "018f" "# },
    not_an_object = { "[1, 2]" },
    two_values = { "{} {}" },
    not_text = { "\u{1}\u{2}" },
)]
#[test_macro(tokio::test)]
async fn a_malformed_body_starts_nothing(body: &'static str) {
    let api = Api::answering(Limit::default(), Answer::Running).await;
    for path in ["/v1/jobs", "/v1/requests"] {
        let response = api.post(path).body(body).send().await.unwrap();
        let (status, body) = read(response).await;
        assert_eq!((status, &body["outcome"]), (400, &json!("invalid")));
    }
    assert_eq!(api.calls(), 0);
}

#[tokio::test]
async fn the_largest_job_is_handed_on_as_it_was_written() {
    let (seen, submissions) = mpsc::channel();
    let api = Api::new(Limit::default(), record(seen)).await;
    let mut body = job();
    body["tasks"] = tasks(860);
    body["tasks"][859]["payload"] = json!({ "b": 1, "a": [2.50] });
    body["tasks"][859]["need"] = json!({ "cores": 0.5, "memory_mb": 3 });
    body["tasks"][859]["run_ms"] = json!(70);
    api.post("/v1/jobs").json(&body).send().await.unwrap();
    let submission = submissions.recv().unwrap();
    let last = &submission.tasks[859];
    assert_eq!(submission.job.to_string(), body["id"].as_str().unwrap());
    assert_eq!(submission.deadline, Duration::from_secs(2));
    let written = body["tasks"][859]["payload"].to_string();
    assert_eq!(&*last.payload, written.as_bytes());
    assert_eq!((last.need.cores, last.need.memory), (0.5, 3 << 20));
    assert_eq!(last.run, Some(Duration::from_millis(70)));
}

#[tokio::test]
async fn a_single_request_is_a_job_of_one_task() {
    let (seen, submissions) = mpsc::channel();
    let api = Api::new(Limit::default(), record(seen)).await;
    let body = json!({
        "kind": "payment", "team": "andes", "deadline_ms": 900, "payload": 5, "repeatable": true,
    });
    api.post("/v1/requests").json(&body).send().await.unwrap();
    let submission = submissions.recv().unwrap();
    assert_eq!(submission.tasks.len(), 1);
    assert!(submission.repeatable);
}

#[tokio::test]
async fn a_request_that_may_not_run_twice_needs_an_id() {
    let api = Api::answering(Limit::default(), Answer::Running).await;
    let body = json!({ "kind": "payment", "team": "andes", "deadline_ms": 900, "payload": 5 });
    let response = api.post("/v1/requests").json(&body).send().await.unwrap();
    let (status, body) = read(response).await;
    assert_eq!((status, &body["field"]), (422, &json!("id")));
    assert_eq!(api.calls(), 0);
}

fn record(seen: mpsc::Sender<Submission>) -> impl FnMut(Call) + Send {
    move |call| {
        if let Call::Submit(submission, _) = &call {
            seen.send(submission.clone()).unwrap();
        }
        reply(call, Answer::Running);
    }
}

/// Sets or removes the value at a JSON pointer.
fn set(body: &mut Value, path: &str, value: Option<Value>) {
    let (parent, key) = path.rsplit_once('/').unwrap();
    let parent = body.pointer_mut(parent).unwrap();
    match value {
        Some(value) if parent.is_array() => parent[key.parse::<usize>().unwrap()] = value,
        Some(value) => parent[key] = value,
        None => {
            parent.as_object_mut().unwrap().remove(key);
        }
    }
}
