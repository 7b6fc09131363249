//! Checks the example settings and their documentation.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_rule::{Configuration, check, source};
use cassiarock_settings::{Agent, Client, Entry, parse_jsonc};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::fs;
use std::path::{Path, PathBuf};
use yare::parameterized;

const DOCUMENT: &str = "docs/SETTINGS.md";

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn example(cluster: &str, file: &str) -> PathBuf {
    root().join("settings").join(cluster).join(file)
}

/// Parses a file in JSON with comments into a `T`.
fn load_jsonc<T: DeserializeOwned>(path: &Path) -> T {
    let text = fs::read_to_string(path).unwrap();
    let value = parse_jsonc(&text, &path.display().to_string()).unwrap();
    serde_json::from_value(value).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

#[parameterized(andes = { "andes" }, iceland = { "iceland" })]
fn every_example_is_accepted(cluster: &str) {
    let entry = Entry::load(example(cluster, "entry.jsonc")).unwrap();
    let agent = Agent::load(example(cluster, "agent.jsonc")).unwrap();
    let client = Client::load(example(cluster, "client.jsonc")).unwrap();
    assert_eq!((agent.slots, agent.connections), (8, 64));
    assert_eq!((&entry.log, &entry.key), (&agent.log, &agent.key));
    assert_eq!(entry.log, client.log);
    assert_eq!(client.entries[0], format!("http://{}", entry.callers));
    assert_eq!(client.status[0], format!("http://{}", entry.metrics));
}

#[parameterized(andes = { "andes" }, iceland = { "iceland" })]
fn the_example_rules_fit_the_example_configuration(cluster: &str) {
    let configuration: Configuration = load_jsonc(&example(cluster, "config.jsonc"));
    let text = fs::read_to_string(example(cluster, "rules.jsonc")).unwrap();
    let rules = source::read(&text, &configuration).unwrap();
    assert_eq!(check::configuration(&configuration, &rules), [""; 0]);
    let agent = Agent::load(example(cluster, "agent.jsonc")).unwrap();
    assert!(configuration.pools.contains_key(&agent.pool));
}

#[parameterized(andes = { "andes" }, iceland = { "iceland" })]
fn an_example_names_every_field(cluster: &str) {
    assert_complete(Entry::load, &example(cluster, "entry.jsonc"));
    assert_complete(Agent::load, &example(cluster, "agent.jsonc"));
    assert_complete(Client::load, &example(cluster, "client.jsonc"));
}

fn assert_complete<T: Serialize, E: std::fmt::Debug>(
    load: fn(PathBuf) -> Result<T, E>,
    file: &Path,
) {
    let known = serde_json::to_value(load(file.to_owned()).unwrap()).unwrap();
    assert_eq!(
        fields("", &known),
        fields("", &load_jsonc(file)),
        "{}",
        file.display()
    );
}

#[test]
fn every_field_is_documented() {
    let document = fs::read_to_string(root().join(DOCUMENT)).unwrap();
    let entry = Entry::load(example("andes", "entry.jsonc")).unwrap();
    let agent = Agent::load(example("andes", "agent.jsonc")).unwrap();
    let client = Client::load(example("andes", "client.jsonc")).unwrap();
    let all = [
        serde_json::to_value(entry).unwrap(),
        serde_json::to_value(agent).unwrap(),
        serde_json::to_value(client).unwrap(),
    ];
    for field in all.iter().flat_map(|value| fields("", value)) {
        let cell = format!("| `{field}` |");
        assert!(document.contains(&cell), "{field} is not in {DOCUMENT}");
    }
}

/// The paths of all fields, sorted.
fn fields(prefix: &str, value: &Value) -> Vec<String> {
    let Value::Object(object) = value else {
        return vec![prefix.trim_end_matches('.').to_owned()];
    };
    let mut list: Vec<String> = object
        .iter()
        .flat_map(|(name, inner)| fields(&format!("{prefix}{name}."), inner))
        .collect();
    list.sort();
    list
}
