//! Runs tasks at the upstream.

use crate::actor::Input;
use crate::state::AssignedTask;
use cassiarock_claim::message::Outcome;
use cassiarock_policy::place::TaskKey;
use cassiarock_upstream::{self as upstream, UpstreamClient};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Runs a task and sends its outcome to the actor.
pub(crate) fn spawn(worker: &UpstreamClient, assigned: AssignedTask, inputs: mpsc::Sender<Input>) {
    let worker = worker.clone();
    tokio::spawn(async move {
        let key = assigned.key();
        let began = Instant::now();
        let outcome = worker.run(&run(assigned)).await;
        let ran = began.elapsed();
        metrics::histogram!("cassiarock_agent_task_seconds").record(ran.as_secs_f64());
        // The actor ends only with the process.
        let _ = inputs.send(input(key, outcome, ran)).await;
    });
}

/// Asks the upstream to stop a task.
pub(crate) fn stop(worker: &UpstreamClient, key: TaskKey) {
    let worker = worker.clone();
    tokio::spawn(async move {
        if let Err(error) = worker.stop(key.job, key.task).await {
            log::warn!(job:% = key.job, task:% = key.task; "stop: {error}");
        }
    });
}

fn run(assigned: AssignedTask) -> upstream::Run {
    upstream::Run {
        job: assigned.run.job,
        task: assigned.item.task,
        round: assigned.run.ballot.round,
        kind: assigned.run.kind,
        payload: assigned.item.payload.into(),
        limit: Duration::from_millis(assigned.run.limit_ms),
    }
}

fn input(key: TaskKey, outcome: upstream::Outcome, ran: Duration) -> Input {
    let ran_ms = u64::try_from(ran.as_millis()).unwrap_or(u64::MAX);
    match outcome {
        upstream::Outcome::Done(bytes) => Input::Ended(key, Outcome::Done(bytes), ran_ms),
        upstream::Outcome::Failed(reason) => Input::Ended(key, Outcome::Failed(reason), ran_ms),
        upstream::Outcome::Lost(reason) => Input::Ended(key, Outcome::Lost(reason), ran_ms),
        upstream::Outcome::NotStarted(reason) => {
            log::warn!(job:% = key.job, task:% = key.task; "not started: {reason}");
            Input::NotStarted(key)
        }
    }
}
