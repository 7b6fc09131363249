//! Upstreams whose answers never end.

use crate::check::{alone, assert_runs_a_job, assert_within_limits, small_site};
use std::time::Duration;

/// How long the answers go on.
const ENDLESS: Duration = Duration::from_secs(3);

// Guards against answers that the agent reads into memory without a bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_whose_answers_never_end_leaves_its_agent_alive() {
    let _alone = alone().await;
    let mut site = small_site().await;
    let agent = &mut site.agents[0];
    let upstream = agent.upstream.as_ref().unwrap();
    upstream.with_fault(|fault| fault.is_endless = true);
    tokio::time::sleep(ENDLESS).await;
    upstream.with_fault(|fault| fault.is_endless = false);
    assert_within_limits(&mut agent.process);
    assert_runs_a_job(&site.entries[0]).await;
}
