//! Processes that are stopped, restarted or told of new settings.

use crate::job::{PATIENCE, Reply, completed, hand_in, submit};
use crate::site::{Site, body};
use std::time::Duration;

// A process took SIGHUP, which says that its settings have changed, for the order to end.
#[tokio::test]
async fn new_settings_end_no_process() {
    let mut site = Site::start(1, 1).await;
    site.entries[0].process.hang_up();
    site.agents[0].process.hang_up();
    let limit = Duration::from_millis(300);
    assert_eq!(site.entries[0].process.ended(limit).await.unwrap(), None);
    assert_eq!(site.agents[0].process.ended(limit).await.unwrap(), None);
    let id = "00000000000000b0";
    let reply = submit(&site.entries[0], id, &body(2, 20), PATIENCE).await;
    assert_eq!(reply, completed());
}

#[tokio::test]
async fn an_entry_that_is_told_to_end_answers_what_it_has_taken() {
    let mut site = Site::start(1, 1).await;
    let id = "00000000000000b1";
    let job = hand_in(&site.entries[0], id, body(4, 800), PATIENCE);
    while !site.witness.has_begun(id) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.entries[0].process.terminate();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let ready = reqwest::get(site.entries[0].readiness()).await.unwrap();
    assert_eq!(ready.status(), 503);
    assert_eq!(job.await.unwrap(), completed());
    let status = site.entries[0].process.ended(Duration::from_secs(7)).await;
    assert!(status.unwrap().is_some_and(|status| status.success()));
}

#[tokio::test]
async fn an_agent_that_is_told_to_end_finishes_its_tasks_and_takes_no_more() {
    let mut site = Site::start(1, 2).await;
    let id = "00000000000000b2";
    let job = hand_in(&site.entries[0], id, body(8, 800), PATIENCE);
    while site.witness.runs().len() < 8 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.agents[0].process.terminate();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let before = site.witness.runs().len();
    let next = "00000000000000b3";
    let next = submit(&site.entries[0], next, &body(4, 50), PATIENCE).await;
    assert_eq!(next, completed());
    let later = site.witness.runs().split_off(before);
    assert!(
        later.iter().all(|run| run.upstream.starts_with("u-1")),
        "{later:?}"
    );
    assert_eq!(job.await.unwrap(), completed());
    let runs = site.witness.runs();
    let runs = runs.iter().filter(|run| run.job == id);
    assert_eq!(runs.count(), 8, "none was broken off");
    let status = site.agents[0].process.ended(Duration::from_secs(7)).await;
    assert!(status.unwrap().is_some_and(|status| status.success()));
}

// The grace period ran out, and the caller's connection was closed without an answer.
#[tokio::test]
async fn a_job_that_outlasts_the_grace_period_is_answered_before_the_entry_ends() {
    let mut site = Site::start(1, 1).await;
    let id = "00000000000000b4";
    let job = hand_in(&site.entries[0], id, body(2, 9_000), PATIENCE * 4);
    while !site.witness.has_begun(id) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.entries[0].process.terminate();
    assert_eq!(job.await.unwrap(), Reply::Status(504));
    let status = site.entries[0].process.ended(Duration::from_secs(2)).await;
    assert!(status.unwrap().is_some_and(|status| status.success()));
}

// A job that nothing had run of was held until the grace period ran out, and then cut off.
#[tokio::test]
async fn a_waiting_job_that_cannot_end_within_the_grace_period_is_refused() {
    let site = Site::start(1, 1).await;
    let first = "00000000000000b5";
    let running = hand_in(&site.entries[0], first, body(16, 9_000), PATIENCE * 4);
    while site.witness.runs().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let second = "00000000000000b6";
    let waiting = hand_in(&site.entries[0], second, body(1, 2_000), PATIENCE * 4);
    tokio::time::sleep(Duration::from_millis(100)).await;
    site.entries[0].process.terminate();
    let has_retry_after = true;
    assert_eq!(waiting.await.unwrap(), Reply::Refused { has_retry_after });
    assert_eq!(running.await.unwrap(), Reply::Status(504));
    assert!(!site.witness.has_begun(second));
}
