//! Crowds at the listeners for the load balancer and for operators.

use crate::check::{alone, assert_runs_a_job, assert_within_limits, small_site};
use crate::crowd::{Crowd, Script};
use crate::site::Entry;
use std::net::SocketAddr;
use std::time::Duration;
use yare::parameterized;

/// How often a listener is asked until it answers, and the pause between.
const TRIES: usize = 60;
const PAUSE: Duration = Duration::from_millis(500);

// Guards against crowds that take all descriptors, or the memory, through a listener that only the
// platform is said to call.
#[parameterized(
    readiness_silence = { Entry::balancer, Entry::readiness, Script::silence("POST /v1/readiness"), 1_000 },
    readiness_endless_head = { Entry::balancer, Entry::readiness, Script::endless_head("GET /v1/readiness"), 1_000 },
    metrics_silence = { Entry::monitor, Entry::metrics, Script::silence("POST /metrics"), 1_000 },
    metrics_endless_head = { Entry::monitor, Entry::metrics, Script::endless_head("GET /metrics"), 1_000 },
    metrics_unread = { Entry::monitor, Entry::metrics, Script::unread("GET /metrics"), 300 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_crowd_of_unfinished_questions_leaves_room_for_others(
    address: fn(&Entry) -> SocketAddr,
    url: fn(&Entry) -> String,
    script: Script,
    connections: usize,
) {
    let _alone = alone().await;
    let mut site = small_site().await;
    for _ in 0..2 {
        let mut crowd = Crowd::open(address(&site.entries[0]), connections).await;
        crowd.send(&script).await;
        assert_within_limits(&mut site.entries[0].process);
        assert_answers(&url(&site.entries[0])).await;
        assert_runs_a_job(&site.entries[0]).await;
        drop(crowd);
        assert_answers(&url(&site.entries[0])).await;
    }
    assert_within_limits(&mut site.entries[0].process);
}

async fn assert_answers(url: &str) {
    for _ in 0..TRIES {
        let call = reqwest::Client::new().get(url).timeout(PAUSE * 10).send();
        if call.await.is_ok_and(|answer| answer.status().is_success()) {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("{url} gives no answer");
}
