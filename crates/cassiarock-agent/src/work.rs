//! Runs tasks at the worker.

use crate::actor::Input;
use crate::state::Work;
use cassiarock_claim::message::Outcome;
use cassiarock_policy::place::TaskKey;
use cassiarock_upstream::{self as upstream, Worker};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Runs a task and tells its end.
pub(crate) fn spawn(worker: &Worker, work: Work, inputs: mpsc::Sender<Input>) {
    let worker = worker.clone();
    tokio::spawn(async move {
        let key = work.key();
        let began = Instant::now();
        let outcome = worker.run(&run(work)).await;
        let ran = began.elapsed();
        metrics::histogram!("cassiarock_agent_task_seconds").record(ran.as_secs_f64());
        // The actor is gone only when the process ends.
        let _ = inputs.send(input(key, outcome, ran)).await;
    });
}

/// Asks the worker to stop a task.
pub(crate) fn stop(worker: &Worker, key: TaskKey) {
    let worker = worker.clone();
    tokio::spawn(async move {
        if let Err(error) = worker.stop(key.job, key.task).await {
            log::warn!(job:% = key.job, task:% = key.task; "stop: {error}");
        }
    });
}

fn run(work: Work) -> upstream::Run {
    upstream::Run {
        job: work.run.job,
        task: work.item.task,
        round: work.run.ballot.round,
        kind: work.run.kind,
        payload: work.item.payload.into(),
        limit: Duration::from_millis(work.run.limit_ms),
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
