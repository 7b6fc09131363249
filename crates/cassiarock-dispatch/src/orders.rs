//! Sends orders to the upstream and polls it.

use crate::agent::{Input, PollRequest};
use cassiarock_adapter::worker::{CallError, MAX_CONNECTIONS, Target};
use cassiarock_adapter::{Error, UpstreamClient};
use cassiarock_id::Name;
use cassiarock_transient::Incarnation;
use cassiarock_transient::host::{Snapshot, StartResponse, Task, poll_backoff};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};

/// The pause between polls while no upstream is known.
const NO_UPSTREAM_PAUSE: Duration = Duration::from_millis(100);

/// A call without an answer is given up after this many times the mean time of a start, within
/// [`TIMEOUT_BOUNDS`].
const TIMEOUT_FACTOR: u64 = 10;

/// The bounds of a call's timeout. An upstream answers within a millisecond, and may carry out an
/// unanswered order seconds later. The sooner the order is given up, the sooner its task is placed
/// again: if one order in twenty is lost, a third of the jobs with eight tasks are affected.
const TIMEOUT_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(40), Duration::from_millis(250));

/// Sends orders, a few at a time: each order in flight has its own connection, and opening
/// connections is expensive for the upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamOrders {
    client: UpstreamClient,
    inputs: mpsc::Sender<Input>,
    permits: Arc<Semaphore>,
    /// The mean time of answered starts, in microseconds.
    mean_micros: Arc<AtomicU64>,
}

impl UpstreamOrders {
    pub(crate) fn new(client: UpstreamClient, inputs: mpsc::Sender<Input>) -> Self {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS - 1));
        Self {
            client,
            inputs,
            permits,
            mean_micros: Arc::default(),
        }
    }

    /// How long a call may take.
    fn timeout(&self) -> Duration {
        let mean = self.mean_micros.load(Ordering::Relaxed);
        Duration::from_micros(mean * TIMEOUT_FACTOR).clamp(TIMEOUT_BOUNDS.0, TIMEOUT_BOUNDS.1)
    }

    /// Updates the mean with the time of an answered start.
    fn record_start(&self, took: Duration) {
        let mean = self.mean_micros.load(Ordering::Relaxed);
        let took = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        // The last eight starts make up two thirds of the mean.
        self.mean_micros
            .store((mean * 7 + took) / 8, Ordering::Relaxed);
    }

    /// Starts a task and passes the answer to the agent.
    pub(crate) fn start(&self, target: Target, task: Task, spec: Name, until: u64) {
        let this = self.clone();
        tokio::spawn(async move {
            // Cannot fail: the semaphore is never closed.
            let _permit = this.permits.acquire().await;
            let began = tokio::time::Instant::now();
            let timeout = this.timeout();
            let answer = this
                .client
                .start(&target, &task, &spec, until, timeout)
                .await;
            let incarnation = target.incarnation;
            let input = match answer {
                Ok((answer, clock)) => {
                    this.record_start(began.elapsed());
                    Input::Started(incarnation, task, answer, clock)
                }
                Err(CallError::OtherIncarnation) => Input::Replaced(incarnation),
                Err(CallError::Fenced) => Input::Fenced(incarnation),
                Err(CallError::Failed(error)) => {
                    log::warn!(task:% = task; "{error}");
                    Input::Started(incarnation, task, StartResponse::NoResponse, None)
                }
            };
            metrics::histogram!("cassiarock_start_seconds").record(began.elapsed());
            // Fails only if the actor has ended.
            let _ = this.inputs.send(input).await;
        });
    }

    /// Stops a task and passes the answer to the agent.
    pub(crate) fn stop(&self, target: Target, task: Task) {
        let this = self.clone();
        tokio::spawn(async move {
            // Cannot fail: the semaphore is never closed.
            let _permit = this.permits.acquire().await;
            let answer = this.client.stop(&target, &task, this.timeout()).await;
            let incarnation = target.incarnation;
            let input = match answer {
                Ok(clock) => Input::Stopped(incarnation, task, clock),
                Err(CallError::OtherIncarnation) => Input::Replaced(incarnation),
                Err(CallError::Fenced) => Input::Fenced(incarnation),
                Err(CallError::Failed(error)) => {
                    // The host repeats the order.
                    log::warn!(task:% = task; "{error}");
                    return;
                }
            };
            // Fails only if the actor has ended.
            let _ = this.inputs.send(input).await;
        });
    }

    /// Polls the upstream once, without waiting for the end of a task.
    pub(crate) fn poll_now(&self, request: PollRequest) {
        let this = self.clone();
        tokio::spawn(async move {
            // Cannot fail: the semaphore is never closed.
            let _permit = this.permits.acquire().await;
            this.poll_once(request.without_wait()).await;
        });
    }

    /// Polls an incarnation of the upstream that has reported, to see whether it is there. Waits for
    /// no permit: calls to the previous incarnation may all hang. The poll renews and acknowledges
    /// nothing.
    pub(crate) fn verify(&self, target: Target, asked: Duration) {
        let this = self.clone();
        tokio::spawn(async move {
            let answer = this.client.verify(&target, this.timeout(), asked).await;
            let input = match poll_input(&target.incarnation, answer) {
                Ok(input) => input,
                Err(error) => {
                    // The host repeats the poll.
                    log::warn!(upstream:% = target.incarnation; "{error}");
                    return;
                }
            };
            // Fails only if the actor has ended.
            let _ = this.inputs.send(input).await;
        });
    }

    /// Polls the upstream, one poll after the other, until the process ends.
    pub(crate) async fn run_polls(self) {
        let mut lost_since: Option<tokio::time::Instant> = None;
        let mut failures = 0;
        loop {
            let (reply, request) = oneshot::channel();
            if self.inputs.send(Input::NextPoll(reply)).await.is_err() {
                return;
            }
            let Ok(Some(request)) = request.await else {
                tokio::time::sleep(NO_UPSTREAM_PAUSE).await;
                continue;
            };
            let request = if lost_since.is_some() {
                request.without_renewal()
            } else {
                request
            };
            let is_answered = self.poll_once(request).await;
            match (is_answered, lost_since) {
                (true, Some(since)) => {
                    let away_ms = since.elapsed().as_millis() as u64;
                    log::info!(dependency = "upstream", away_ms = away_ms; "regained");
                    lost_since = None;
                    failures = 0;
                }
                (false, None) => lost_since = Some(tokio::time::Instant::now()),
                (true, None) | (false, Some(_)) => {}
            }
            if !is_answered {
                failures += 1;
                tokio::time::sleep(poll_backoff(failures)).await;
            }
        }
    }

    /// Polls the upstream once and passes the result to the agent. Returns whether the expected
    /// incarnation answered.
    async fn poll_once(&self, request: PollRequest) -> bool {
        let PollRequest {
            target,
            seen,
            until,
            wait,
            asked,
        } = request;
        let snapshot = self
            .client
            .poll(&target, seen, until, wait, self.timeout(), asked)
            .await;
        let is_answered = snapshot.is_ok();
        let input = match poll_input(&target.incarnation, snapshot) {
            Ok(input) => input,
            Err(error) => {
                log::warn!(dependency = "upstream"; "lost: {error}");
                if !error.is_refused_connection() {
                    return false;
                }
                Input::Unreachable(target.incarnation)
            }
        };
        // Fails only if the actor has ended.
        let _ = self.inputs.send(input).await;
        is_answered
    }
}

/// What the answer to a poll of an incarnation means to the agent; the error if there was none.
fn poll_input(
    incarnation: &Incarnation,
    answer: Result<Snapshot, CallError>,
) -> Result<Input, Error> {
    match answer {
        Ok(snapshot) => Ok(Input::Snapshot(snapshot)),
        Err(CallError::OtherIncarnation) => Ok(Input::Replaced(incarnation.clone())),
        Err(CallError::Fenced) => Ok(Input::Fenced(incarnation.clone())),
        Err(CallError::Failed(error)) => Err(error),
    }
}
