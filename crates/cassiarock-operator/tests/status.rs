//! Tests of `status` and `explain` while parts of the system are down.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use axum::routing::{get, post};
use axum::{Json, Router};
use cassiarock_id::{Process, Wall};
use cassiarock_operator::{Action, Command, Exit, execute};
use cassiarock_process::{Evacuation, Status};
use cassiarock_rule::{Explanation, Request, RuleSet};
use cassiarock_settings::Client;
use serde_json::Value;
use tokio::net::TcpListener;

const UNREACHABLE_URL: &str = "http://127.0.0.1:1";

async fn serve(router: Router) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    format!("http://{address}")
}

fn action(line: &str) -> Action {
    let words: Vec<&str> = line.split_whitespace().collect();
    Command::parse(&words).unwrap().action
}

// While the log is down the agents cannot be listed, but the entries still answer and their
// state must be shown.
#[tokio::test]
async fn entries_are_shown_while_the_log_is_down() {
    let status = Status::new(Process::new("entry-1", 1), "entry", "andes-1");
    let entry = serve(Router::new().route("/status", get(|| async { Json(status) }))).await;
    let client =
        Client::new("ana", UNREACHABLE_URL).with_status([UNREACHABLE_URL.to_owned(), entry]);
    let report = execute(&client, &Action::Status).await.unwrap();
    assert_eq!(report.exit, Exit::Unreachable);
    let row = report.text.lines().find(|line| line.starts_with("entry-1"));
    assert!(
        row.unwrap().ends_with("not ready, log out of reach"),
        "{}",
        report.text
    );
    assert_eq!(
        report.json["processes"][1]["status"]["data_centre"],
        "andes-1"
    );
}

// An operator evacuated a data centre before work on its power supply, and could not see when
// it was empty.
#[tokio::test]
async fn an_evacuated_data_centre_is_shown_with_the_tasks_of_all_entries_there() {
    let mut entries = Vec::new();
    for tasks in [3, 4] {
        let name = format!("entry-{tasks}");
        let mut status = Status::new(Process::new(name, 1), "entry", "andes-1");
        status.evacuations.push(Evacuation {
            data_centre: "andes-2".into(),
            since: Wall::now(),
            tasks,
        });
        let router = Router::new().route("/status", get(|| async { Json(status) }));
        entries.push(serve(router).await);
    }
    let client = Client::new("ana", UNREACHABLE_URL).with_status(entries);
    let report = execute(&client, &Action::Status).await.unwrap();
    let row = report.text.lines().find(|line| line.starts_with("andes-2"));
    assert!(row.unwrap().ends_with(" 7"), "{}", report.text);
}

#[tokio::test]
async fn the_first_entry_that_answers_explains() {
    let answer = |Json(question): Json<Value>| async move {
        let request = Request::new(question["kind"].as_str().unwrap());
        Json(Explanation::new(7, &RuleSet::default(), &request))
    };
    let entry = serve(Router::new().route("/explain", post(answer))).await;
    let client =
        Client::new("ana", UNREACHABLE_URL).with_status([UNREACHABLE_URL.to_owned(), entry]);
    let explain = action("explain --kind seat-check --team desk");
    let report = execute(&client, &explain).await.unwrap();
    assert!(report.text.starts_with("version 7"), "{}", report.text);
    assert_eq!(report.json["rule"], "default");
}
