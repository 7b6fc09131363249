//! Errors in the settings of agents and of the operators' client.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_settings::{Agent, Client};
use serde_json::{Value, json};
use yare::parameterized;

/// The text of `settings` with the fields of `change` overriding theirs.
fn with_changes(mut settings: Value, change: &Value) -> String {
    let fields = change.as_object().cloned().unwrap();
    settings.as_object_mut().unwrap().extend(fields);
    settings.to_string()
}

#[parameterized(
    no_slots = { json!({ "slots": 0 }), "`slots`: must not be zero" },
    no_connections = { json!({ "connections": 0 }), "`connections`: must not be zero" },
    no_worker = { json!({ "worker": "10.0.0.1:8000" }), "`worker`: \"10.0.0.1:8000\" is no base URL" },
    no_cores = { json!({ "capacity": { "cores": 0 } }), "`capacity.cores`: must not be zero" },
    interval_too_short = { json!({ "health": { "interval": "1ms" } }), "`health.interval`: 1ms is out of range" },
    ledger_too_small = { json!({ "ledger": { "bytes": "1KiB" } }), "`ledger.bytes`: 1024 is too small" },
    age_too_short = { json!({ "ledger": { "age": "1s" } }), "`ledger.age`: 1s is out of range" },
    field_of_an_entry = { json!({ "callers": "10.0.0.1:8080" }), "`callers`: unknown; delete it" },
    port_conflict = { json!({ "metrics": "10.0.0.1:8081", "peers": "10.0.0.1:8081" }), "`metrics`: 10.0.0.1:8081 is also" },
)]
fn invalid_agent_settings_name_the_field(change: Value, expected: &str) {
    let minimal = Agent::new(
        "agent-1",
        "andes-1",
        "http://10.0.0.2:7000",
        "0123456789abcdef",
    );
    let text = with_changes(serde_json::to_value(minimal).unwrap(), &change);
    let error = Agent::parse(&text, "agent.jsonc").unwrap_err().to_string();
    assert!(
        error.starts_with(&format!("agent.jsonc: field {expected}")),
        "{error}"
    );
}

#[parameterized(
    no_entries = { json!({ "entries": [] }), "`entries`: is empty; name at least one entry" },
    no_url = { json!({ "status": ["10.0.0.1:9090"] }), "`status`: \"10.0.0.1:9090\" is no base URL" },
    no_timeout = { json!({ "timeout": "0s" }), "`timeout`: 0ns is out of range" },
)]
fn invalid_client_settings_name_the_field(change: Value, expected: &str) {
    let entry = ["http://10.0.0.1:8080"];
    let minimal = Client::new("ana", "http://10.0.0.2:7000")
        .with_entries(entry)
        .with_status(entry);
    let text = with_changes(serde_json::to_value(minimal).unwrap(), &change);
    let error = Client::parse(&text, "client.jsonc")
        .unwrap_err()
        .to_string();
    assert!(
        error.starts_with(&format!("client.jsonc: field {expected}")),
        "{error}"
    );
}
