//! Announces the agent on the log.

use cassiarock_id::{Process, Wall};
use cassiarock_platform::follow::{Backoff, Status};
use cassiarock_platform::{Follower, Log, publish};
use cassiarock_rule::membership::Standing;
use cassiarock_rule::record::Body;
use cassiarock_rule::{Member, Record};
use std::time::Duration;

/// How long one append is tried before the membership is looked at again.
const APPEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Announces `member`, and again whenever the membership has lost it, as after a restore. A
/// thousand agents that return at once take turns, so that they stay within the log's few
/// hundred appends a second.
pub(crate) async fn join(log: Log, follower: &Follower, member: Member) {
    let mut status = follower.subscribe();
    let mut backoff = Backoff::default();
    loop {
        // The follower runs as long as this process.
        let absent = |status: &Status| standing(status, &member.process) == Standing::Absent;
        if status.wait_for(absent).await.is_err() {
            return;
        }
        let Some(known) = publish::turn(&mut status, rand::random()).await else {
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
                log::warn!(agent:% = member.process; "join: {error}");
                tokio::time::sleep(backoff.fail(rand::random())).await;
            }
        }
    }
}

/// Announces that `process` has gone, after it handed over by membership `version`. True
/// once that counts.
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
            log::warn!(agent:% = process; "leave: {error}");
            false
        }
    }
}

/// A data centre may be taken down at once. An agent whose turn does not come in time, or that
/// finds the log down, goes on all the same, for it holds up its VM.
pub(crate) async fn wait_for_turn(follower: &Follower) {
    if follower.status().reachable {
        let mut status = follower.subscribe();
        let turn = publish::turn(&mut status, rand::random());
        let _ = tokio::time::timeout(APPEND_TIMEOUT, turn).await;
    }
}

async fn wait_until_applied(status: &mut tokio::sync::watch::Receiver<Status>, offset: u64) {
    let applied = status.wait_for(|status| status.next() > offset);
    // Not folded in time: look at the membership again and announce once more.
    let _ = tokio::time::timeout(APPEND_TIMEOUT, applied).await;
}

pub(crate) fn standing(status: &Status, process: &Process) -> Standing {
    let state = status.state.as_ref();
    state.map_or(Standing::Absent, |state| state.membership.standing(process))
}
