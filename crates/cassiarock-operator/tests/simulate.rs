//! Tests of `cassiarock simulate`.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_operator::{Command, Exit, run};

const SMALL: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../settings/lab/small.jsonc"
);

#[tokio::test]
async fn a_scenario_is_simulated_with_each_mechanism_disabled_in_turn() {
    let command = Command::parse(&["simulate", "--ablate", SMALL]).unwrap();
    let report = run(&command).await.unwrap();
    assert_eq!(report.exit, Exit::Done);
    assert!(report.text.contains("ejection"), "{}", report.text);
    assert_eq!(report.json[0]["without"], serde_json::Value::Null);
}

#[tokio::test]
async fn an_unknown_mechanism_is_an_input_error() {
    let command = Command::parse(&["simulate", "--without", "luck", SMALL]).unwrap();
    let error = run(&command).await.unwrap_err();
    assert_eq!(error.exit(), Exit::Usage);
    assert!(
        error.to_string().contains("name one of admission"),
        "{error}"
    );
}

#[tokio::test]
async fn a_missing_scenario_file_is_an_input_error() {
    let command = Command::parse(&["simulate", "no/such/scenario.jsonc"]).unwrap();
    assert_eq!(run(&command).await.unwrap_err().exit(), Exit::Usage);
}
