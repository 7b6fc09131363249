//! Crowds at the product's own interface.

use crate::check::{alone, assert_process};
use crate::crowd::{Crowd, Script};
use crate::node::{self, Agent, PATIENCE, client, until_status};
use cassiarock_id::{Job, Wall};
use cassiarock_settings as settings;
use cassiarock_test_support::log::Stand;
use cassiarock_test_support::process::Child;
use serde_json::json;
use std::time::Duration;
use yare::parameterized;

/// The memory that a VM has for the system's own processes, and descriptors for all listeners.
const MEMORY_BYTES: u64 = 256_000_000;
const FILE_DESCRIPTORS: usize = 1_024;

/// Open connections of callers, by the test's settings.
const CONNECTIONS: usize = 150;

/// How often an ordinary caller that is refused comes again, and after which time.
const TRIES: usize = 60;
const PAUSE: Duration = Duration::from_millis(500);

const SUBMIT: &str = "POST /v1/jobs";

// Guards against crowds that take the memory or the descriptors of a process through its own interface.
#[parameterized(
    callers_long_slices = { "callers", Script::long_slices(SUBMIT), 300 },
    callers_single_bytes = { "callers", Script::single_bytes(SUBMIT), 200 },
    callers_silence = { "callers", Script::silence(SUBMIT), 300 },
    monitor_silence = { "monitor", Script::silence("POST /status"), 1_500 },
    peers_silence = { "peers", Script::silence("GET /"), 1_500 },
    peers_large_frame = { "peers", Script::large_frame(), 300 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_crowd_at_the_own_interface_leaves_room_for_others(
    listener: &str,
    script: Script,
    connections: usize,
) {
    let _alone = alone().await;
    let log = Stand::start().await.unwrap();
    let agent = Agent::start("agent-1", log.address());
    let mut setting = settings::Entry::new("entry-1", "dc-1", log.url(), node::KEY);
    setting.limits.connections = CONNECTIONS;
    let mut entry = node::start("entry", "entry-1", &setting);
    agent.ready().await;
    let linked = |status: &serde_json::Value| status["links"].as_u64() >= Some(1);
    until_status(&entry, "linked", linked).await;
    assert_runs_a_job(&entry).await;
    for _ in 0..2 {
        let mut crowd = Crowd::open(entry.address(listener), connections).await;
        crowd.send(&script).await;
        assert_process(&mut entry, MEMORY_BYTES, FILE_DESCRIPTORS);
        assert_runs_a_job(&entry).await;
        drop(crowd);
        assert_runs_a_job(&entry).await;
    }
    assert_process(&mut entry, MEMORY_BYTES, FILE_DESCRIPTORS);
}

/// Fails if a job is not run, however often it is submitted after refusals.
async fn assert_runs_a_job(entry: &Child) {
    let mut seen = Vec::new();
    for _ in 0..TRIES {
        let job = json!({
            "id": Job::new(Wall::now()).to_string(),
            "kind": "seat-check",
            "team": "valle",
            "deadline_ms": 10_000,
            "tasks": [{ "id": "task-0", "payload": { "run_ms": 5, "echo": 1 } }],
        });
        let url = format!("{}/v1/jobs", entry.url("callers"));
        match client(PATIENCE).post(url).json(&job).send().await {
            Ok(answer) if answer.status() == 200 => return,
            Ok(answer) => seen.push(answer.status().to_string()),
            Err(error) => seen.push(error.to_string()),
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("no job was run: {seen:?}");
}
