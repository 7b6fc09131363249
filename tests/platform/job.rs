//! A caller with a job.

use crate::site::{Entry, Site, body};
use reqwest::StatusCode;
use serde_json::Value;
use std::time::Duration;

/// What a caller got.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// A state, as `completed`.
    State(String),
    /// Not run.
    Refused { has_retry_after: bool },
    /// Another status.
    Status(u16),
    /// The connection broke, or no answer came in time.
    Nothing,
}

/// Hands a job in at an entry and waits for its answer.
pub async fn submit(entry: &Entry, id: &str, body: &Value, patience: Duration) -> Reply {
    submit_at(&entry.job(id), id, body, patience).await
}

/// Hands a job in at an entry, to be waited for later.
pub fn hand_in(
    entry: &Entry,
    id: &'static str,
    body: Value,
    patience: Duration,
) -> tokio::task::JoinHandle<Reply> {
    let url = entry.job(id);
    tokio::spawn(async move { submit_at(&url, id, &body, patience).await })
}

/// The same as [`submit`] at an address.
pub async fn submit_at(url: &str, id: &str, body: &Value, patience: Duration) -> Reply {
    submit_with(&client(), url, id, body, patience).await
}

pub fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().unwrap()
}

/// The same as [`submit_at`] over the open connections of a client.
pub async fn submit_with(
    client: &reqwest::Client,
    url: &str,
    id: &str,
    body: &Value,
    patience: Duration,
) -> Reply {
    let call = client
        .post(url)
        .header("host", "queue.example")
        .header("request-id", format!("request-{id}"))
        .header("deadline-ms", patience.as_millis().to_string())
        .json(body)
        .timeout(patience);
    let Ok(answer) = call.send().await else {
        return Reply::Nothing;
    };
    let status = answer.status();
    let has_retry_after = answer.headers().contains_key("retry-after");
    let Ok(text) = answer.text().await else {
        return Reply::Nothing;
    };
    match status {
        StatusCode::OK => {
            let body: Value = serde_json::from_str(&text).unwrap();
            Reply::State(body["state"].as_str().unwrap_or_default().to_owned())
        }
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Reply::Refused { has_retry_after }
        }
        status => Reply::Status(status.as_u16()),
    }
}

pub fn completed() -> Reply {
    Reply::State("completed".to_owned())
}

pub const PATIENCE: Duration = Duration::from_secs(5);

#[tokio::test]
async fn a_job_is_placed_run_and_answered_whole() {
    let site = Site::start(2, 3).await;
    for (number, entry) in site.entries.iter().enumerate() {
        let id = format!("{number:016x}");
        let reply = submit(entry, &id, &body(12, 60), PATIENCE).await;
        assert_eq!(reply, completed());
        assert_eq!(site.witness.done(&id), 12);
    }
    let ready = reqwest::get(site.entries[0].readiness()).await.unwrap();
    assert_eq!(ready.status(), StatusCode::OK);
}

#[tokio::test]
async fn stages_run_one_after_the_other() {
    let site = Site::start(1, 2).await;
    let mut body = body(3, 40);
    let mut second = body["phases"][0].clone();
    second["dependsOn"] = serde_json::json!([0]);
    body["phases"].as_array_mut().unwrap().push(second);
    let id = "00000000000000aa";
    assert_eq!(
        submit(&site.entries[0], id, &body, PATIENCE).await,
        completed()
    );
    let runs = site.witness.runs();
    let first = runs.iter().filter(|run| run.task.0 == 0);
    let last = first.map(|run| run.ended.unwrap().0).max().unwrap();
    let mut later = runs.iter().filter(|run| run.task.0 == 1);
    assert!(later.all(|run| run.began >= last));
}

#[tokio::test]
async fn a_caller_that_leaves_has_its_tasks_stopped_at_once() {
    let site = Site::start(1, 1).await;
    let job = body(4, 3_000);
    let call = submit(&site.entries[0], "00000000000000ab", &job, PATIENCE * 2);
    let begun = async {
        while site.witness.runs().len() < 4 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        reply = call => panic!("answered: {reply:?}"),
        () = begun => {}
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(site.agents[0].upstream.as_ref().unwrap().running(), 0);
}

#[tokio::test]
async fn a_changed_configuration_is_in_force_within_a_second() {
    let mut site = Site::start(2, 1).await;
    site.configure();
    tokio::time::sleep(Duration::from_secs(1)).await;
    for entry in &site.entries {
        let text = reqwest::get(entry.metrics()).await.unwrap().text().await;
        let text = text.unwrap();
        assert!(
            text.contains("cassiarock_configuration_version 2"),
            "{text}"
        );
    }
}
