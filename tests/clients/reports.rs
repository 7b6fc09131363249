//! Crowds at an agent's listener for reports.

use crate::check::{alone, assert_runs_a_job, assert_within_limits, small_site};
use crate::crowd::{Crowd, Script};
use yare::parameterized;

const REPORT: &str = "PUT /v1/instances/u-9";

// Guards against reports that keep more memory than the agent may have, and against crowds that
// leave its upstream no connection.
#[parameterized(
    single_bytes = { Script::single_bytes(REPORT), 200 },
    one_chunk = { Script::one_chunk(REPORT), 300 },
    slices = { Script::slices(REPORT), 300 },
    silence = { Script::silence(REPORT), 1_000 },
    endless_head = { Script::endless_head(REPORT), 1_000 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_crowd_of_unfinished_reports_leaves_room_for_the_upstream(
    script: Script,
    connections: usize,
) {
    let _alone = alone().await;
    let mut site = small_site().await;
    for _ in 0..2 {
        let mut crowd = Crowd::open(site.agents[0].upstream_side(), connections).await;
        crowd.send(&script).await;
        assert_within_limits(&mut site.agents[0].process);
        // A restarted upstream has to get its first report through.
        site.agents[0].revive(site.witness.clone());
        assert_runs_a_job(&site.entries[0]).await;
        drop(crowd);
        assert_runs_a_job(&site.entries[0]).await;
    }
    assert_within_limits(&mut site.agents[0].process);
}
