//! Spreads the announcements of agents on the log over time.

use crate::follow::Status;
use cassiarock_rule::jitter;
use tokio::sync::watch;

/// Waits until the log answers, and then for this process's turn among all agents that may
/// have something to announce at the same time; `draw` is a random number from 0 up to 1.
/// Returns the status at that time, or `None` if the follower has ended.
///
/// Appending while the log is down would only add calls to it, and appending at once when it
/// returns would bring a thousand appends in one second; see [`jitter::delay`].
///
/// ```
/// # use cassiarock_platform::{Follower, Log, publish};
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// # let stand = cassiarock_test_support::log::Stand::start().await?;
/// let follower = Follower::start(Log::new(stand.url())?);
/// let status = publish::wait_for_turn(&mut follower.subscribe(), 0.5).await;
/// assert!(status.is_some_and(|status| status.reachable));
/// # Ok::<_, Box<dyn std::error::Error>>(()) })?;
/// # Ok::<_, Box<dyn std::error::Error>>(())
/// ```
pub async fn wait_for_turn(status: &mut watch::Receiver<Status>, draw: f64) -> Option<Status> {
    let known = status.wait_for(|status| status.reachable && status.state.is_some());
    let max_agents = known.await.ok()?.max_agents;
    tokio::time::sleep(jitter::delay(max_agents, draw)).await;
    Some(status.borrow().clone())
}
