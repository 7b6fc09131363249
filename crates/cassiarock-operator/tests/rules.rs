//! Publishing through the log stand-in.
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

const NOWHERE: &str = "http://127.0.0.1:1";

/// A log with the pools of the example rules at version 1, and its client.
async fn platform() -> (Stand, Client) {
    let stand = Stand::start().await.unwrap();
    let client = client(&stand);
    let set = Action::Config(Config::Set {
        wait: false,
        based_on: None,
        file: example("config.jsonc"),
    });
    execute(&client, &set).await.unwrap();
    (stand, client)
}

fn client(stand: &Stand) -> Client {
    let mut client = Client::new("ana", stand.url()).with_entries([NOWHERE]);
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

fn shift(rule: &str, to: usize) -> Action {
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

/// Serves a status at which the log has been read up to `next`.
async fn process(next: u64) -> SocketAddr {
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
    let (_stand, client) = platform().await;
    execute(&client, &publish(None, false)).await.unwrap();
    execute(&client, &shift("dawn-rush", 1)).await.unwrap();
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
    let (_stand, client) = platform().await;
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

// Two operators edit the rules from the same version. The second to publish would undo the
// first one's change without having seen it; it must be told, and nothing may change.
#[tokio::test]
async fn the_second_of_two_racing_operators_gets_a_conflict() {
    let (_stand, client) = platform().await;
    execute(&client, &publish(Some(1), false)).await.unwrap();
    execute(&client, &shift("dawn-rush", 1)).await.unwrap();
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

// The log takes the record, and its answer is lost. A client that reported a failure would
// make the operator publish again, and the second copy would be a second change.
#[tokio::test]
async fn a_lost_answer_of_the_log_is_settled() {
    let (stand, client) = platform().await;
    stand.with_fault(|fault| fault.lost_answers = 1);
    assert_eq!(
        exit(execute(&client, &publish(None, false)).await),
        Exit::Done
    );
    assert_eq!(order(&client).await.len(), 4);
}

#[tokio::test]
async fn a_log_that_is_down_is_told_apart_from_a_refusal() {
    let (stand, client) = platform().await;
    stand.with_fault(|fault| fault.down = true);
    assert_eq!(
        exit(execute(&client, &publish(None, false)).await),
        Exit::Unreachable
    );
    assert_eq!(stand.end(), 1);
}

// The platform drops old records while no process is left to append a snapshot. Nobody can
// know the state any more, and no change can be based on one: only a restore helps.
#[tokio::test]
async fn a_log_that_was_cut_is_restored() {
    let (stand, client) = platform().await;
    let restore = Action::Restore(Restore {
        rules: example("rules.jsonc"),
        config: example("config.jsonc"),
    });
    assert_eq!(exit(execute(&client, &restore).await), Exit::Refused);
    execute(&client, &publish(None, false)).await.unwrap();
    stand.cut(stand.end());
    assert_eq!(
        exit(execute(&client, &shift("dawn-rush", 1)).await),
        Exit::Unreachable
    );
    execute(&client, &restore).await.unwrap();
    execute(&client, &shift("dawn-rush", 1)).await.unwrap();
    assert_eq!(order(&client).await[0], "dawn-rush");
}

#[tokio::test]
async fn what_does_not_exist_is_named() {
    let (_stand, client) = platform().await;
    let error = execute(&client, &shift("payments", 1)).await.unwrap_err();
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

// An entry does not read the log. The operator who waits for the change must learn which
// process still works by the old rules.
#[tokio::test]
async fn waiting_names_the_processes_that_lag() {
    let (_stand, client) = platform().await;
    let late = process(0).await;
    let ready = process(u64::MAX).await;
    let client = client.with_status([format!("http://{late}"), format!("http://{ready}")]);
    let report = execute(&client, &publish(None, true)).await.unwrap();
    assert_eq!(report.exit, Exit::Pending);
    assert_eq!(report.json["lagging"], json!(["late (at 0)"]));
    assert_eq!(report.json["processes"], 2);
}

#[tokio::test]
async fn waiting_ends_when_every_entry_and_agent_has_the_version() {
    let (stand, client) = platform().await;
    let member = Member::new(Process::new("agent-1", 1), process(0).await)
        .with_status(process(u64::MAX).await);
    let joined = Record::new(Wall::now(), "agent-1", Body::Joined { member });
    stand.append(joined.encode().unwrap());
    let client = client.with_status([format!("http://{}", process(u64::MAX).await)]);
    let report = execute(&client, &publish(None, true)).await.unwrap();
    assert_eq!(report.exit, Exit::Done, "{}", report.text);
    assert_eq!(report.json["processes"], 2);
}

// A rule below one that matches everything can never decide. Published, it would look as if
// it were in force.
#[tokio::test]
async fn rules_that_cannot_be_right_are_refused_before_they_are_published() {
    let (stand, client) = platform().await;
    execute(&client, &publish(None, false)).await.unwrap();
    let end = stand.end();
    assert_eq!(
        exit(execute(&client, &shift("rest", 1)).await),
        Exit::Refused
    );
    assert_eq!(stand.end(), end);
}
