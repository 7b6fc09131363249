//! The operators' client against real processes, as docs/OPERATIONS.md describes it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod shutdown;
mod system;

use serde_json::Value;
use std::time::{Duration, Instant};
use system::{PATIENCE, System};

#[test]
fn a_change_is_published_explained_and_applied_to_a_job() {
    let system = System::start("published");
    let set = system.json("config set settings/andes/config.jsonc --wait");
    assert_eq!(set["processes"], 4);
    assert_eq!(set["lagging"].as_array().unwrap().len(), 0);
    system.json("rules publish settings/andes/rules.jsonc --wait");
    system.json("rules move dawn-rush --to 1 --wait");
    let rules = system.json("rules list");
    assert_eq!(rules["rules"][0]["name"], "dawn-rush");
    assert_eq!(rules["change"]["by"], "ana");

    let explained = system.json("explain --kind payment --team desk");
    assert_eq!(explained["rule"], "payments");
    assert_eq!(explained["passed"][0]["rule"], "dawn-rush");

    let answer = system.json("submit settings/andes/job.jsonc");
    assert_eq!(answer["outcome"], "complete");
    assert_eq!(answer["results"].as_array().unwrap().len(), 2);
    let until = Instant::now() + PATIENCE;
    while !system.entry.output().contains("rule=") {
        assert!(Instant::now() < until, "no line tells of the decision");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn an_upstream_is_drained_and_put_back() {
    let system = System::start("drained");
    system.json("drain agent-2 --wait");
    let second = |list: &Value| list[1]["leaving"].as_bool().unwrap_or(false);
    assert!(second(&system.json("upstreams")));
    // A third of the pool is out; another one needs force.
    assert_eq!(system.run("drain agent-3").status.code(), Some(4));
    system.json("drain agent-2 --undo --wait");
    assert!(!second(&system.json("upstreams")));
}

// The log goes down while the system runs. Jobs must still be answered by the rules last
// read, and the operator must be told that a change is not possible now.
#[test]
fn an_outage_of_the_log_stops_changes_but_no_jobs() {
    let system = System::start("outage");
    system.json("config set settings/andes/config.jsonc --wait");
    system.json("rules publish settings/andes/rules.jsonc --wait");
    system.log.with_fault(|fault| fault.down = true);
    assert_eq!(system.run("rules delete rest").status.code(), Some(6));
    let answer = system.json("submit settings/andes/job.jsonc");
    assert_eq!(answer["outcome"], "complete");
}
