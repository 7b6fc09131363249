//! Tests of publishing to a fake log.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use axum::routing::get;
use axum::{Json, Router};
use cassiarock_id::{Process, Wall};
use cassiarock_operator::{Action, Config, Drain, Error, Exit, Report, Restore, Rules, execute};
use cassiarock_process::Status;
use cassiarock_rule::record::Body;
use cassiarock_rule::{Member, Record};
use cassiarock_settings::Client;
use cassiarock_test_support::log::Stand;
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::TcpListener;

const UNREACHABLE_URL: &str = "http://127.0.0.1:1";

/// Starts a log with the pools of the example rules at version 1, and returns it with its
/// client.
async fn platform() -> (Stand, Client) {
    let log = Stand::start().await.unwrap();
    let client = client(&log);
    let set = Action::Config(Config::Set {
        wait: false,
        based_on: None,
        file: example("config.jsonc"),
    });
    execute(&client, &set).await.unwrap();
    (log, client)
}

fn client(log: &Stand) -> Client {
    let mut client = Client::new("ana", log.url()).with_entries([UNREACHABLE_URL]);
    client.timeout = Duration::from_millis(500);
    client.wait = Duration::from_secs(2);
    client
}

fn example(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../settings/andes")
        .join(file)
}

fn publish(based_on: Option<u64>, wait: bool) -> Action {
    Action::Rules(Rules::Publish {
        wait,
        based_on,
        file: example("rules.jsonc"),
    })
}

fn move_rule(rule: &str, to: usize) -> Action {
    Action::Rules(Rules::Move {
        wait: false,
        to,
        rule: rule.into(),
    })
}

async fn order(client: &Client) -> Vec<String> {
    let report = execute(client, &Action::Rules(Rules::List)).await.unwrap();
    let rules = report.json["rules"].as_array().unwrap();
    rules
        .iter()
        .map(|rule| rule["name"].as_str().unwrap().to_owned())
        .collect()
}

fn exit(outcome: Result<Report, Error>) -> Exit {
    outcome.map_or_else(|error| error.exit(), |report| report.exit)
}

/// Serves the status of a process that has read the log up to `next`.
async fn serve_status(next: u64) -> SocketAddr {
    let mut status = Status::new(Process::new("late", 1), "entry", "andes-1");
    status.next = next;
    let router = Router::new().route("/status", get(move || async move { Json(status) }));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

#[tokio::test]
async fn published_rules_are_moved_and_deleted() {
    let (_log, client) = platform().await;
    execute(&client, &publish(None, false)).await.unwrap();
    execute(&client, &move_rule("dawn-rush", 1)).await.unwrap();
    let delete = Action::Rules(Rules::Delete {
        wait: false,
        rule: "payments".into(),
    });
    execute(&client, &delete).await.unwrap();
    assert_eq!(
        order(&client).await,
        ["dawn-rush", "reports-under-load", "rest"]
    );
}

#[tokio::test]
async fn a_rule_goes_last_unless_a_place_is_given() {
    let (_log, client) = platform().await;
    let file = std::env::temp_dir().join(format!("rule-{}.jsonc", std::process::id()));
    let insert = |at| {
        Action::Rules(Rules::Insert {
            wait: false,
            at,
            file: file.clone(),
        })
    };
    let write = |name: &str| {
        let then = json!({ "refuse": { "reason": "closed" } });
        let rule = json!({ "name": name, "when": { "kinds": [name] }, "then": then });
        std::fs::write(&file, rule.to_string()).unwrap();
    };
    for (name, at) in [("first", None), ("last", None), ("middle", Some(2))] {
        write(name);
        execute(&client, &insert(at)).await.unwrap();
    }
    assert_eq!(order(&client).await, ["first", "middle", "last"]);
    write("far");
    let error = execute(&client, &insert(Some(9))).await.unwrap_err();
    assert_eq!(error.exit(), Exit::Refused);
    assert!(error.to_string().contains("beyond the 3 rules"), "{error}");
    std::fs::remove_file(&file).unwrap();
}

// Two operators edit the rules from the same version. Without a conflict the second publish
// would overwrite the change of the first unseen.
#[tokio::test]
async fn the_second_of_two_concurrent_publishes_gets_a_conflict() {
    let (_log, client) = platform().await;
    execute(&client, &publish(Some(1), false)).await.unwrap();
    execute(&client, &move_rule("dawn-rush", 1)).await.unwrap();
    let before = order(&client).await;
    let late = execute(&client, &publish(Some(1), false))
        .await
        .unwrap_err();
    assert_eq!(late.exit(), Exit::Conflict);
    assert!(
        late.to_string().contains("ana published version 3"),
        "{late}"
    );
    assert_eq!(order(&client).await, before);
}

// The log accepts the record, but its response is lost. A client that reported a failure
// would lead the operator to publish a second time, which would be a second change.
#[tokio::test]
async fn a_publish_succeeds_when_the_response_of_the_log_is_lost() {
    let (log, client) = platform().await;
    log.with_fault(|fault| fault.lost_answers = 1);
    assert_eq!(
        exit(execute(&client, &publish(None, false)).await),
        Exit::Done
    );
    assert_eq!(order(&client).await.len(), 4);
}

#[tokio::test]
async fn a_log_that_is_down_is_reported_as_unreachable_not_as_a_refusal() {
    let (log, client) = platform().await;
    log.with_fault(|fault| fault.down = true);
    assert_eq!(
        exit(execute(&client, &publish(None, false)).await),
        Exit::Unreachable
    );
    assert_eq!(log.end(), 1);
}

// The platform drops old records while no process is left to append a snapshot. The state
// cannot be rebuilt and no change can be based on it; only a restore helps.
#[tokio::test]
async fn a_truncated_log_is_restored() {
    let (log, client) = platform().await;
    let restore = Action::Restore(Restore {
        rules: example("rules.jsonc"),
        config: example("config.jsonc"),
    });
    assert_eq!(exit(execute(&client, &restore).await), Exit::Refused);
    execute(&client, &publish(None, false)).await.unwrap();
    log.cut(log.end());
    assert_eq!(
        exit(execute(&client, &move_rule("dawn-rush", 1)).await),
        Exit::Unreachable
    );
    execute(&client, &restore).await.unwrap();
    execute(&client, &move_rule("dawn-rush", 1)).await.unwrap();
    assert_eq!(order(&client).await[0], "dawn-rush");
}

#[tokio::test]
async fn a_missing_rule_or_agent_is_named() {
    let (_log, client) = platform().await;
    let error = execute(&client, &move_rule("payments", 1))
        .await
        .unwrap_err();
    assert_eq!(error.exit(), Exit::NotFound);
    assert!(error.to_string().contains("rule `payments`"), "{error}");
    let drain = Drain {
        undo: false,
        force: false,
        wait: false,
        agent: "agent-9".into(),
    };
    let error = execute(&client, &Action::Drain(drain)).await.unwrap_err();
    assert_eq!(error.exit(), Exit::NotFound);
}

// One entry does not read the log. The operator who waits for the change must learn which
// process still applies the old rules.
#[tokio::test]
async fn waiting_lists_the_processes_that_lag() {
    let (_log, client) = platform().await;
    let late = serve_status(0).await;
    let ready = serve_status(u64::MAX).await;
    let client = client.with_status([format!("http://{late}"), format!("http://{ready}")]);
    let report = execute(&client, &publish(None, true)).await.unwrap();
    assert_eq!(report.exit, Exit::Pending);
    assert_eq!(report.json["lagging"], json!(["late (at 0)"]));
    assert_eq!(report.json["processes"], 2);
}

#[tokio::test]
async fn waiting_ends_when_every_entry_and_agent_has_the_version() {
    let (log, client) = platform().await;
    let member = Member::new(Process::new("agent-1", 1), serve_status(0).await)
        .with_status(serve_status(u64::MAX).await);
    let joined = Record::new(Wall::now(), "agent-1", Body::Joined { member });
    log.append(joined.encode().unwrap());
    let client = client.with_status([format!("http://{}", serve_status(u64::MAX).await)]);
    let report = execute(&client, &publish(None, true)).await.unwrap();
    assert_eq!(report.exit, Exit::Done, "{}", report.text);
    assert_eq!(report.json["processes"], 2);
}

// A rule below one that matches everything can never apply. If it were published, it would
// appear to be in force.
#[tokio::test]
async fn invalid_rules_are_refused_before_they_are_published() {
    let (log, client) = platform().await;
    execute(&client, &publish(None, false)).await.unwrap();
    let end = log.end();
    assert_eq!(
        exit(execute(&client, &move_rule("rest", 1)).await),
        Exit::Refused
    );
    assert_eq!(log.end(), end);
}
