//! What has to hold whatever clients send.

use crate::site::{Entry, Limits, Site, body};
use cassiarock_test_support::process::Child;
use reqwest::StatusCode;
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard};

/// The tests run one at a time.
static ALONE: Mutex<()> = Mutex::const_new(());

/// The bounds of each process.
pub const LIMITS: Limits = Limits {
    memory_mb: 64,
    file_descriptors: 512,
    max_body_bytes: 262_144,
};

/// How often an ordinary caller that is refused comes again, and after which time.
const TRIES: u64 = 60;
const PAUSE: Duration = Duration::from_millis(500);

/// How long an ordinary caller waits.
const PATIENCE: Duration = Duration::from_secs(5);

/// Waits until no other test runs.
pub async fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().await
}

/// One entry with one agent, within [`LIMITS`].
pub async fn small_site() -> Site {
    let site = Site::start_limited(1, 1, LIMITS).await;
    site.entries[0].linked(1, Duration::from_secs(20)).await;
    assert_runs_a_job(&site.entries[0]).await;
    site
}

/// Fails if the process has ended or has ever exceeded [`LIMITS`].
pub fn assert_within_limits(process: &mut Child) {
    assert_process(
        process,
        LIMITS.memory_mb * 1_000_000,
        LIMITS.file_descriptors,
    );
}

/// Fails if the process has ended or has ever had more memory, or has more descriptors.
pub fn assert_process(process: &mut Child, max_memory: u64, max_descriptors: usize) {
    let exit = process.exit_status().unwrap();
    assert!(exit.is_none(), "the process has ended: {exit:?}");
    let memory = process.peak_memory().unwrap();
    let descriptors = process.descriptors().unwrap();
    println!(
        "{} KB at the peak, {descriptors} descriptors",
        memory / 1_000
    );
    assert!(
        memory <= max_memory,
        "{memory} bytes of memory, {max_memory} allowed"
    );
    assert!(
        descriptors <= max_descriptors,
        "{descriptors} descriptors, {max_descriptors} allowed"
    );
}

/// Fails if an ordinary caller's job is not run, however often it comes again after refusals.
pub async fn assert_runs_a_job(entry: &Entry) {
    let mut seen = Vec::new();
    for _ in 0..TRIES {
        let id = format!("{:016x}", rand::random::<u64>());
        let call = reqwest::Client::new()
            .post(entry.job(&id))
            .header("host", "queue.example")
            .header("deadline-ms", PATIENCE.as_millis().to_string())
            .json(&body(2, 20))
            .timeout(PATIENCE);
        match call.send().await {
            Ok(answer) if answer.status() == StatusCode::OK => return,
            Ok(answer) => seen.push(answer.status().to_string()),
            Err(error) => seen.push(error.to_string()),
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("no job was run: {seen:?}");
}
