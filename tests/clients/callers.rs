//! Crowds at the entry's listener for callers.

use crate::check::{LIMITS, alone, assert_runs_a_job, assert_within_limits, small_site};
use crate::crowd::{Crowd, Script};
use std::time::Duration;
use yare::parameterized;

const SUBMIT: &str = "POST /q/00000000000000aa";

/// How long the entry has at least to take a crowd's jobs in.
const SETTLING: Duration = Duration::from_secs(2);

// Guards against bodies that keep more memory than the process may have, and against crowds that
// hold every connection.
#[parameterized(
    single_bytes = { Script::single_bytes(SUBMIT), 200 },
    batches_of_bytes = { Script::batches_of_bytes(SUBMIT), 300 },
    one_chunk = { Script::one_chunk(SUBMIT), 300 },
    slices = { Script::slices(SUBMIT), 300 },
    silence = { Script::silence(SUBMIT), 1_000 },
    endless_head = { Script::endless_head(SUBMIT), 1_000 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_crowd_of_unfinished_submissions_leaves_room_for_ordinary_callers(
    script: Script,
    connections: usize,
) {
    let _alone = alone().await;
    let mut site = small_site().await;
    let address = site.entries[0].callers();
    for _ in 0..2 {
        let mut crowd = Crowd::open(address, connections).await;
        crowd.send(&script).await;
        assert_within_limits(&mut site.entries[0].process);
        assert_runs_a_job(&site.entries[0]).await;
        drop(crowd);
        assert_runs_a_job(&site.entries[0]).await;
    }
    assert_within_limits(&mut site.entries[0].process);
}

/// A job of so many tasks with this specification.
fn job(tasks: usize, spec: &str) -> String {
    format!(
        r#"{{"spec":"{spec}","bestEffort":true,"phases":[{{"count":{tasks},"cpu":1000,"memMb":64,"estimateMs":50}}]}}"#
    )
}

// Guards against jobs that have been received whole and keep far more memory than their bodies did.
#[parameterized(
    many_tasks = { job(10_000, "ms=50") },
    long_specification = { job(1, &"x".repeat(260_000)) },
    many_phases = { phases() },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_crowd_of_whole_submissions_stays_within_the_memory_of_the_entry(body: String) {
    let _alone = alone().await;
    let mut site = small_site().await;
    let address = site.entries[0].callers();
    for number in 0..2 {
        let mut crowd = Crowd::open(address, 300).await;
        let request = format!("POST /q/00000000000000b{number}");
        crowd.send(&Script::whole(&request, &body)).await;
        tokio::time::sleep(SETTLING).await;
        assert_within_limits(&mut site.entries[0].process);
        drop(crowd);
        assert_runs_a_job(&site.entries[0]).await;
    }
    assert_within_limits(&mut site.entries[0].process);
}

/// A job of the most phases, each after all the earlier ones that the body has room for.
fn phases() -> String {
    let phase = |number: usize| {
        let earlier: Vec<_> = (0..number).map(|earlier| earlier.to_string()).collect();
        let earlier = earlier.join(",");
        format!(r#"{{"count":39,"cpu":1000,"memMb":64,"estimateMs":50,"dependsOn":[{earlier}]}}"#)
    };
    let phases: Vec<_> = (0..256).map(phase).collect();
    let phases = phases.join(",");
    format!(r#"{{"spec":"ms=50","bestEffort":true,"phases":[{phases}]}}"#)
}

// Guards against bounds that a single caller inside the limits meets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_submission_of_the_largest_legal_size_is_run_in_calm() {
    let _alone = alone().await;
    let site = small_site().await;
    let job = job(2, "ms=20");
    let padding = " ".repeat(LIMITS.max_body_bytes - job.len());
    let call = reqwest::Client::new()
        .post(site.entries[0].job("00000000000000c0"))
        .header("host", "queue.example")
        .body(job + &padding);
    assert_eq!(call.send().await.unwrap().status(), 200);
}
