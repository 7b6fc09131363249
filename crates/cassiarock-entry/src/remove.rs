//! Appends to the log that an unreachable agent has left.

use cassiarock_id::{Name, Process, Wall};
use cassiarock_platform::{Error, Follower, Log, publish};
use cassiarock_rule::Record;
use cassiarock_rule::membership::Standing;
use cassiarock_rule::record::Body;
use std::time::Duration;

/// How long one append is tried. If it fails, the agent is announced again later.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Waits for the log and for this process's turn to append, then announces that the agent has
/// left, unless another entry has already done so.
pub(crate) async fn announce(
    log: &Log,
    follower: &Follower,
    by: Name,
    agent: &Process,
) -> Result<(), Error> {
    let mut status = follower.subscribe();
    let Some(known) = publish::wait_for_turn(&mut status, rand::random()).await else {
        return Ok(());
    };
    let Some(state) = &known.state else {
        return Ok(());
    };
    let standing = state.membership.standing(agent);
    if !matches!(standing, Standing::Active | Standing::Leaving) {
        return Ok(());
    }
    let process = agent.clone();
    let record = Record::new(Wall::now(), by, Body::Left { process });
    let offset = publish::append(log, &record, known.next(), APPEND_TIMEOUT).await?;
    log::info!(agent:% = agent, offset = offset; "removed");
    Ok(())
}
