//! Crowds at the entry's listener for callers.

use crate::check::{alone, assert_runs_a_job, assert_within_limits, small_site};
use crate::crowd::{Crowd, Script};
use yare::parameterized;

const SUBMIT: &str = "POST /q/00000000000000aa";

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
