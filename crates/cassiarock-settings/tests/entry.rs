//! Errors in an entry's settings name the field and the remedy.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_settings::{Entry, Error};
use serde_json::{Value, json};
use yare::parameterized;

/// Parses the minimal settings with the fields of `change` overriding theirs.
fn parse(change: Value) -> Result<Entry, Error> {
    let mut settings = json!({
        "name": "entry-1",
        "data_centre": "andes-1",
        "callers": "10.0.0.1:8080",
        "peers": "10.0.0.1:8081",
        "metrics": "10.0.0.1:9090",
        "log": "http://10.0.0.2:7000",
        "key": "0123456789abcdef",
    });
    let fields = change.as_object().cloned().unwrap_or_default();
    settings.as_object_mut().unwrap().extend(fields);
    Entry::parse(&settings.to_string(), "entry.jsonc")
}

#[test]
fn minimal_settings_get_the_defaults() {
    let entry = parse(json!({})).unwrap();
    assert_eq!(entry.limits.tasks, 860);
    assert_eq!(entry.peers_public, None);
}

#[parameterized(
    unknown = { json!({ "drain_limt": "3s" }), "`drain_limt`: unknown; did you mean `drain_limit`?" },
    unknown_inside = { json!({ "limits": { "taks": 3 } }), "`limits.taks`: unknown; did you mean `tasks`?" },
    unknown_and_far = { json!({ "colour": 3 }), "`colour`: unknown; delete it, the fields here are name, " },
    field_of_an_agent = { json!({ "slots": 3 }), "`slots`: unknown; delete it" },
    number_for_text = { json!({ "limits": { "body": 7 } }), "`limits.body`: invalid type" },
    no_unit = { json!({ "drain_limit": "3" }), "`drain_limit`: \"3\" is no duration; write" },
    wrong_unit = { json!({ "limits": { "body": "4MB" } }), "`limits.body`: \"4MB\" is no size; write" },
    zero = { json!({ "limits": { "connections": 0 } }), "`limits.connections`: must not be zero" },
    too_few_bodies = { json!({ "limits": { "bodies": "5MiB" } }), "`limits.bodies`: 5242880 bytes hold too few bodies; give at least 8388608B" },
    over_the_job_size = { json!({ "limits": { "tasks": 861 } }), "`limits.tasks`: 861 is too large; give at most 860" },
    no_share = { json!({ "policy": { "retry_share": 1.5 } }), "`policy.retry_share`: 1.5 is no share" },
    unknown_policy = { json!({ "policy": { "placement": "credit" } }), "`policy.placement`: unknown variant `credit`, expected one of" },
    port_conflict = { json!({ "metrics": "10.0.0.1:8080" }), "`metrics`: 10.0.0.1:8080 is also the address of `callers`" },
    port_conflict_on_all = { json!({ "callers": "0.0.0.0:8081" }), "`peers`: 10.0.0.1:8081 is also the address of `callers`" },
    unreachable = { json!({ "peers": "0.0.0.0:8081" }), "`peers_public`: 0.0.0.0:8081 cannot be reached" },
    host_name = { json!({ "peers": "here:8081" }), "`peers`: invalid socket address" },
    short_key = { json!({ "key": "secret" }), "`key`: has 6 characters; draw a random text of at least 16" },
    tls = { json!({ "log": "https://10.0.0.2" }), "`log`: \"https://10.0.0.2\" is no base URL" },
    invalid_name = { json!({ "name": "entry 1" }), "`name`: \"entry 1\" is no name" },
    skew_too_large = { json!({ "clock_skew": "1min" }), "`clock_skew`: 60s is out of range" },
)]
fn errors_name_file_field_and_remedy(change: Value, expected: &str) {
    let error = parse(change).unwrap_err().to_string();
    let expected = format!("entry.jsonc: field {expected}");
    assert!(error.starts_with(&expected), "{error}");
}

#[test]
fn a_missing_field_is_named() {
    let error = Entry::parse(r#"{ "name": "entry-1" }"#, "entry.jsonc").unwrap_err();
    let expected = "entry.jsonc: field `data_centre`: missing; add it";
    assert!(error.to_string().starts_with(expected), "{error}");
}

#[test]
fn a_syntax_error_names_its_line() {
    let error = Entry::parse("{\n  \"name\" \"entry-1\"\n}", "entry.jsonc").unwrap_err();
    assert!(error.to_string().contains("line 2"), "{error}");
}

// Guards against an edit that adds a line for a field and leaves the old line further down.
// One of the values would silently win while a reader may have seen the other.
#[test]
fn a_duplicate_field_is_named() {
    let text = r#"{ "limits": { "tasks": 5, "body": "1MiB", "tasks": 6 } }"#;
    let error = Entry::parse(text, "entry.jsonc").unwrap_err().to_string();
    assert!(
        error.starts_with("entry.jsonc: field `limits.tasks`: given twice"),
        "{error}"
    );
}

#[parameterized(
    forgotten_comma = { r#"{ "a": 1 "b": 2 }"# },
    bare_name = { "{ a: 1 }" },
    hexadecimal = { r#"{ "a": 0xFF }"# },
    two_values = { "{} {}" },
)]
fn invalid_json_with_comments_is_rejected(text: &str) {
    assert!(matches!(
        Entry::parse(text, "entry.jsonc"),
        Err(Error::Syntax { .. })
    ));
}

#[test]
fn the_key_stays_out_of_debug_output() {
    let entry = parse(json!({})).unwrap();
    assert!(!format!("{entry:?}").contains("0123456789abcdef"));
}

#[test]
fn settings_round_trip_through_json() {
    let entry = parse(json!({})).unwrap();
    let text = serde_json::to_string(&entry).unwrap();
    assert_eq!(Entry::parse(&text, "entry.jsonc").unwrap(), entry);
}
