//! The main loop of a follower.

use super::{Backoff, Status, pace};
use crate::reader::Outcome;
use crate::{Error, Log, Reader};
use cassiarock_rule::{Effect, State};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

pub async fn run(log: Log, status: watch::Sender<Status>, mut offers: mpsc::Receiver<Arc<State>>) {
    let poll = log.poll();
    let mut reader = Reader::new(log);
    let mut backoff = Backoff::default();
    let mut ready_at = Instant::now();
    loop {
        let result = tokio::select! {
            offered = offers.recv() => match offered {
                Some(state) => {
                    if reader.offer(State::clone(&state)) {
                        publish(&status, &reader, None);
                    }
                    continue;
                }
                None => return,
            },
            result = step(&mut reader, ready_at, poll) => result,
        };
        ready_at = Instant::now();
        match &result {
            Ok(outcomes) => {
                backoff.record_success();
                outcomes.iter().for_each(report_effect);
                if !outcomes.is_empty() {
                    ready_at += pace(agent_count(&reader), rand::random());
                }
            }
            Err(error) => {
                backoff = backoff.with_processes(agent_count(&reader));
                let wait = backoff.record_failure(rand::random());
                let retry_in_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
                log::warn!(retry_in_ms = retry_in_ms; "log: {error}");
                ready_at += wait;
            }
        }
        publish(&status, &reader, Some(result.is_ok()));
    }
}

async fn step(
    reader: &mut Reader,
    ready_at: Instant,
    poll: Duration,
) -> Result<Vec<Outcome>, Error> {
    tokio::time::sleep_until(ready_at).await;
    if reader.is_current() || reader.is_searching() {
        return reader.step(poll).await;
    }
    reader.catch_up().await.map(|()| Vec::new())
}

/// Exports the status as metrics.
fn export_metrics(status: &Status) {
    let flag = |set| if set { 1.0 } else { 0.0 };
    metrics::gauge!("cassiarock_log_reachable").set(flag(status.reachable));
    metrics::gauge!("cassiarock_log_searches").set(flag(status.searching));
    let Some(state) = &status.state else {
        return;
    };
    metrics::gauge!("cassiarock_log_next").set(state.next as f64);
    metrics::gauge!("cassiarock_rules_version").set(state.version as f64);
    metrics::gauge!("cassiarock_members").set(state.membership.members.len() as f64);
}

/// Logs and counts the effect of a record.
fn report_effect(outcome: &Outcome) {
    let offset = outcome.offset;
    let id = outcome.id.map(|id| id.to_string()).unwrap_or_default();
    let effect = match &outcome.effect {
        Some(Effect::Accepted) => {
            log::info!(offset = offset, id = id; "record in force");
            "accepted"
        }
        Some(Effect::Rejected(reason)) => {
            log::info!(offset = offset, id = id; "record rejected: {reason}");
            "rejected"
        }
        Some(Effect::Ignored) => "ignored",
        None => "kept for later",
    };
    log::debug!(offset = offset, id = id; "record {effect}");
    metrics::counter!("cassiarock_records_total", "effect" => effect).increment(1);
}

/// The number of agents in the state: the processes that would lose the log at the same time.
fn agent_count(reader: &Reader) -> usize {
    let state = reader.state();
    state.map_or(0, |state| state.membership.members.len())
}

/// Publishes the reader's status; `answered` is whether the log answered the last call, or
/// `None` if no call was made.
fn publish(status: &watch::Sender<Status>, reader: &Reader, answered: Option<bool>) {
    status.send_if_modified(|status| {
        let known = status.next();
        let next = reader.state().map_or(0, |state| state.next);
        let mut fresh = Status {
            state: status.state.clone(),
            reachable: answered.unwrap_or(status.reachable),
            current: reader.is_current(),
            max_agents: status.max_agents,
            searching: reader.is_searching(),
        };
        if status.state.is_none() || next > known {
            fresh.state = reader.state().cloned().map(Arc::new);
        }
        fresh.update_max_agents();
        export_metrics(&fresh);
        let changed = fresh.next() != known
            || fresh.state.is_some() != status.state.is_some()
            || fresh.reachable != status.reachable
            || fresh.current != status.current
            || fresh.searching != status.searching;
        *status = fresh;
        changed
    });
}
