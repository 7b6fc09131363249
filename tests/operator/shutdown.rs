//! A process that is told to end with work in flight.

use crate::system::{PATIENCE, System};
use cassiarock_id::{Job, Wall};
use cassiarock_test_support::process::Child;
use reqwest::Client;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// How many callers wait for a job.
const CALLERS: usize = 300;

/// Longer than a test runs: the job cannot end by itself.
const RUN_MS: u64 = 50_000;

fn configure(system: &System) {
    system.json("config set settings/andes/config.jsonc");
    system.json("rules publish settings/andes/rules.jsonc --wait");
}

/// Submits a job that does not end, and waits until it runs.
fn occupy(system: &System, name: &str) {
    configure(system);
    let task = json!({ "id": "long", "payload": { "run_ms": RUN_MS } });
    let job = json!({ "kind": "audit", "team": "desk", "deadline_ms": RUN_MS, "tasks": [task] });
    let file = std::env::temp_dir().join(format!("{name}-{}.jsonc", std::process::id()));
    std::fs::write(&file, job.to_string()).unwrap();
    let submitted = system.run(&format!("submit --detach {}", file.display()));
    std::fs::remove_file(&file).unwrap();
    assert_eq!(submitted.status.code(), Some(7), "{submitted:?}");
    system.wait(|status| status["running"] == 1);
}

/// Waits for a line of the child.
fn said(child: &Child, line: &str) {
    let until = Instant::now() + PATIENCE;
    while !child.output().contains(line) {
        assert!(Instant::now() < until, "never said {line:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn code(child: &mut Child) -> Option<i32> {
    let runtime = Runtime::new().unwrap();
    let status = runtime.block_on(child.ended(PATIENCE)).unwrap();
    status.expect("the process goes on").code()
}

// The platform's patience is shorter than a job: it signals a second time. The process must
// end then, and the operator must learn that a caller was left without an answer.
#[test]
fn a_second_signal_ends_the_process_and_says_what_was_cut() {
    let mut system = System::start("second-signal");
    occupy(&system, "second-signal-job");
    system.entry.terminate();
    said(&system.entry, "signal: drain");
    system.entry.terminate();
    assert_eq!(code(&mut system.entry), Some(3));
    said(&system.entry, "cut: 1 jobs without an answer, 1 tasks");
}

// A job hangs for good. Without a limit the process would drain for ever and block the
// replacement of its VM.
#[test]
fn the_drain_limit_ends_the_process_and_says_what_was_cut() {
    let limit = Duration::from_millis(200);
    let mut system = System::with_drain_limit("drain-limit", limit);
    occupy(&system, "drain-limit-job");
    system.entry.terminate();
    assert_eq!(code(&mut system.entry), Some(3));
    said(&system.entry, "cut: 1 jobs without an answer, 1 tasks");
}

// Guards against a caller whose connection breaks without an answer at the drain limit or the
// second signal, so that it is not told that its job may have run.
#[yare::parameterized(
    drain_limit = { "answered-at-limit", Duration::from_millis(200), 1 },
    second_signal = { "answered-at-signal", PATIENCE, 2 },
)]
fn a_waiting_caller_is_answered_when_the_process_ends(name: &str, limit: Duration, signals: usize) {
    let mut system = System::with_drain_limit(name, limit);
    configure(&system);
    let runtime = Runtime::new().unwrap();
    let id = Job::new(Wall::now()).to_string();
    let task = json!({ "id": "long", "payload": { "run_ms": RUN_MS } });
    let job = json!({ "id": id, "kind": "audit", "team": "desk", "deadline_ms": RUN_MS, "tasks": [task] });
    let request = Client::new()
        .post(format!("{}/v1/jobs", system.entry.url("callers")))
        .json(&job);
    let submit = |_| runtime.spawn(request.try_clone().unwrap().send());
    let answers: Vec<_> = (0..CALLERS).map(submit).collect();
    system.wait(|status| status["running"] == 1);
    // Until all have arrived: the entry counts jobs, not callers.
    std::thread::sleep(Duration::from_secs(1));
    for _ in 0..signals {
        system.entry.terminate();
        said(&system.entry, "signal: drain");
    }
    assert_eq!(code(&mut system.entry), Some(3));
    for answer in answers {
        let answer = runtime.block_on(answer).unwrap().unwrap();
        assert_eq!(answer.status(), 502);
        let answer: Value = runtime.block_on(answer.json()).unwrap();
        assert_eq!(answer["outcome"], "failed_may_have_run", "{answer}");
        assert_eq!(answer["ran"], json!(["long"]));
    }
}
