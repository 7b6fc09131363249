//! Carries orders to the upstream and polls it.

use crate::agent::{Input, Poll};
use cassiarock_adapter::UpstreamClient;
use cassiarock_adapter::worker::{CallError, MAX_CONNECTIONS, Target};
use cassiarock_id::Name;
use cassiarock_transient::host::{StartResponse, Task, poll_backoff};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};

/// The pause while no upstream is known.
const IDLE: Duration = Duration::from_millis(100);

/// A start without an answer is taken for lost after this many times the mean, ...
const SLOWER: u64 = 10;

/// ... within these bounds. An upstream answers within a millisecond. What it leaves
/// unanswered may be carried out seconds later; the sooner the order is voided, the sooner
/// its task can be placed again: with one order in twenty lost, a job of eight tasks meets
/// one in three times.
const UNANSWERED: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(250));

/// Sends orders, a few at a time: each one under way has a connection, and new connections
/// are dear to the upstream.
#[derive(Clone, Debug)]
pub(crate) struct Orders {
    worker: UpstreamClient,
    inputs: mpsc::Sender<Input>,
    free: Arc<Semaphore>,
    /// The mean time of an answered start, in microseconds.
    mean: Arc<AtomicU64>,
}

impl Orders {
    pub(crate) fn new(worker: UpstreamClient, inputs: mpsc::Sender<Input>) -> Self {
        let free = Arc::new(Semaphore::new(MAX_CONNECTIONS - 1));
        Self {
            worker,
            inputs,
            free,
            mean: Arc::default(),
        }
    }

    /// How long an order may take.
    fn limit(&self) -> Duration {
        let mean = self.mean.load(Ordering::Relaxed);
        Duration::from_micros(mean * SLOWER).clamp(UNANSWERED.0, UNANSWERED.1)
    }

    fn learn(&self, took: Duration) {
        let mean = self.mean.load(Ordering::Relaxed);
        let took = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        // The last eight make up two thirds of it.
        self.mean.store((mean * 7 + took) / 8, Ordering::Relaxed);
    }

    pub(crate) fn start(&self, target: Target, task: Task, spec: Name, until: u64) {
        let this = self.clone();
        tokio::spawn(async move {
            // The semaphore is never closed.
            let _permit = this.free.acquire().await;
            let began = tokio::time::Instant::now();
            let limit = this.limit();
            let answer = this.worker.start(&target, &task, &spec, until, limit).await;
            let incarnation = target.incarnation;
            let input = match answer {
                Ok((answer, clock)) => {
                    this.learn(began.elapsed());
                    Input::Started(incarnation, task, answer, clock)
                }
                Err(CallError::OtherIncarnation) => Input::Gone(incarnation),
                Err(CallError::Fenced) => Input::Fenced(incarnation),
                Err(CallError::Failed(error)) => {
                    log::warn!(task:% = task; "{error}");
                    Input::Started(incarnation, task, StartResponse::NoResponse, None)
                }
            };
            metrics::histogram!("cassiarock_start_seconds").record(began.elapsed());
            // The actor may have ended.
            let _ = this.inputs.send(input).await;
        });
    }

    pub(crate) fn stop(&self, target: Target, task: Task) {
        let this = self.clone();
        tokio::spawn(async move {
            // The semaphore is never closed.
            let _permit = this.free.acquire().await;
            let answer = this.worker.stop(&target, &task, this.limit()).await;
            let incarnation = target.incarnation;
            let input = match answer {
                Ok(clock) => Input::Stopped(incarnation, task, clock),
                Err(CallError::OtherIncarnation) => Input::Gone(incarnation),
                Err(CallError::Fenced) => Input::Fenced(incarnation),
                Err(CallError::Failed(error)) => {
                    // The host orders it again.
                    log::warn!(task:% = task; "{error}");
                    return;
                }
            };
            // The actor may have ended.
            let _ = this.inputs.send(input).await;
        });
    }

    /// Polls the upstream without waiting for an end.
    pub(crate) fn poll_now(&self, poll: Poll) {
        let this = self.clone();
        tokio::spawn(async move {
            // The semaphore is never closed.
            let _permit = this.free.acquire().await;
            this.poll_once(poll.without_wait()).await;
        });
    }

    /// Polls the upstream, one poll after the other, until the process ends.
    pub(crate) async fn poll(self) {
        let mut lost: Option<tokio::time::Instant> = None;
        let mut failures = 0;
        loop {
            let (reply, poll) = oneshot::channel();
            if self.inputs.send(Input::Poll(reply)).await.is_err() {
                return;
            }
            let Ok(Some(poll)) = poll.await else {
                tokio::time::sleep(IDLE).await;
                continue;
            };
            let poll = if lost.is_some() {
                poll.without_renewal()
            } else {
                poll
            };
            let is_answered = self.poll_once(poll).await;
            match (is_answered, lost) {
                (true, Some(since)) => {
                    let away_ms = since.elapsed().as_millis() as u64;
                    log::info!(dependency = "upstream", away_ms = away_ms; "regained");
                    lost = None;
                    failures = 0;
                }
                (false, None) => lost = Some(tokio::time::Instant::now()),
                (true, None) | (false, Some(_)) => {}
            }
            if !is_answered {
                failures += 1;
                tokio::time::sleep(poll_backoff(failures)).await;
            }
        }
    }

    async fn poll_once(&self, poll: Poll) -> bool {
        let Poll {
            target,
            seen,
            until,
            wait,
            asked,
        } = poll;
        let snapshot = self
            .worker
            .poll(&target, seen, until, wait, self.limit(), asked)
            .await;
        let (is_answered, input) = match snapshot {
            Ok(snapshot) => (true, Input::Snapshot(snapshot)),
            Err(CallError::OtherIncarnation) => (false, Input::Gone(target.incarnation)),
            Err(CallError::Fenced) => (false, Input::Fenced(target.incarnation)),
            Err(CallError::Failed(error)) => {
                log::warn!(dependency = "upstream"; "lost: {error}");
                return false;
            }
        };
        // The actor may have ended.
        let _ = self.inputs.send(input).await;
        is_answered
    }
}
