//! Crowds at the listener for links between processes.

use crate::check::{alone, assert_runs_a_job, assert_within_limits, small_site};
use crate::crowd::{Crowd, Script};
use std::time::Duration;
use yare::parameterized;

// Guards against connections that prove no key and take the memory or the descriptors of links.
#[parameterized(
    silence = { Script::silence("GET /"), 1_000 },
    endless_head = { Script::endless_head("GET /"), 1_000 },
    large_frame = { Script::large_frame(), 100 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_crowd_without_the_key_leaves_room_for_links(script: Script, connections: usize) {
    let _alone = alone().await;
    let mut site = small_site().await;
    for _ in 0..2 {
        let mut crowd = Crowd::open(site.entries[0].links_behind(), connections).await;
        crowd.send(&script).await;
        assert_within_limits(&mut site.entries[0].process);
        site.agents[0].process.kill();
        site.agents[0].restart();
        assert_runs_a_job(&site.entries[0]).await;
        drop(crowd);
        site.entries[0].linked(1, Duration::from_secs(20)).await;
        assert_runs_a_job(&site.entries[0]).await;
    }
    assert_within_limits(&mut site.entries[0].process);
}
