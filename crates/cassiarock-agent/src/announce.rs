//! Announces on the log that the agent joins or leaves.

use cassiarock_id::{Process, Wall};
use cassiarock_platform::follow::{Backoff, Status};
use cassiarock_platform::{Follower, Log, publish};
use cassiarock_rule::membership::Standing;
use cassiarock_rule::record::Body;
use cassiarock_rule::{Member, Record};
use std::time::Duration;

/// How long one append is tried before the membership is checked again.
const APPEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Announces `member`, and again whenever the membership lacks it, as after a restore. Agents
/// take turns, so that a thousand that return at once stay within the log's few hundred
/// appends a second.
pub(crate) async fn join(log: Log, follower: &Follower, member: Member) {
    let mut status = follower.subscribe();
    let mut backoff = Backoff::default();
    loop {
        // The follower runs as long as this process.
        let absent = |status: &Status| standing(status, &member.process) == Standing::Absent;
        if status.wait_for(absent).await.is_err() {
            return;
        }
        let Some(known) = publish::wait_for_turn(&mut status, rand::random()).await else {
            return;
        };
        if !absent(&known) {
            continue;
        }
        let by = member.process.name.clone();
        let body = Body::Joined {
            member: member.clone(),
        };
        let record = Record::new(Wall::now(), by, body);
        match publish::append(&log, &record, known.next(), APPEND_TIMEOUT).await {
            Ok(offset) => {
                log::info!(agent:% = member.process, offset = offset; "joined");
                wait_until_applied(&mut status, offset).await;
            }
            Err(error) => {
                log::warn!(agent:% = member.process; "cannot announce that the agent joins: {error}");
                tokio::time::sleep(backoff.record_failure(rand::random())).await;
            }
        }
    }
}

/// Announces that `process` has left, after a handover by membership `version`. Returns whether
/// the membership then counts it as retired.
pub(crate) async fn leave(log: &Log, follower: &Follower, process: &Process, version: u64) -> bool {
    let mut status = follower.subscribe();
    let from = follower.status().next();
    let body = Body::HandedOver {
        process: process.clone(),
        version,
    };
    let record = Record::new(Wall::now(), process.name.clone(), body);
    match publish::append(log, &record, from, APPEND_TIMEOUT).await {
        Ok(offset) => {
            log::info!(agent:% = process, offset = offset; "left");
            wait_until_applied(&mut status, offset).await;
            let state = follower.status().state;
            state.is_some_and(|state| state.membership.history.is_retired(process))
        }
        Err(error) => {
            log::warn!(agent:% = process; "cannot announce that the agent leaves: {error}");
            false
        }
    }
}

/// Waits for this agent's turn to append, as all agents of a data centre may leave at once. If
/// the turn does not come in time or the log is down, the agent goes on without it, because
/// its VM waits for it to end.
pub(crate) async fn wait_for_turn(follower: &Follower) {
    if follower.status().reachable {
        let mut status = follower.subscribe();
        let turn = publish::wait_for_turn(&mut status, rand::random());
        let _ = tokio::time::timeout(APPEND_TIMEOUT, turn).await;
    }
}

async fn wait_until_applied(status: &mut tokio::sync::watch::Receiver<Status>, offset: u64) {
    let applied = status.wait_for(|status| status.next() > offset);
    // If the record is not applied in time, the caller checks the membership again.
    let _ = tokio::time::timeout(APPEND_TIMEOUT, applied).await;
}

/// The standing of `process` in the membership; absent while no state is known.
pub(crate) fn standing(status: &Status, process: &Process) -> Standing {
    let state = status.state.as_ref();
    state.map_or(Standing::Absent, |state| state.membership.standing(process))
}
