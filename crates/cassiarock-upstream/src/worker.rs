//! The HTTP client of the agent's worker.

use crate::exchange::{RequestError, classify, decode_outcome, error_chain, read_body};
use crate::protocol::RunRequest;
use crate::{Error, Health, Outcome, Run, Usage};
use cassiarock_id::{Job, Name, Task};
use reqwest::{Client, Response};
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, SemaphorePermit};

/// The limit for connecting. A worker is close to its agent, with a round trip under a
/// millisecond; a second covers a lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// The limit for a control call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest answer of a task, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The largest answer of a control call, in bytes.
const MAX_CONTROL_ANSWER_BYTES: usize = 64 << 10;

/// The client of one worker. Its clones share the connections.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    base: Name,
    client: Client,
    connections: Arc<Semaphore>,
    max_answer_bytes: usize,
}

impl UpstreamClient {
    /// Creates a client of the worker at `base`, such as `http://10.0.0.7:8080`, with at most
    /// `connections` concurrent runs.
    ///
    /// # Errors
    /// If the HTTP client cannot be set up.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// use cassiarock_upstream::UpstreamClient;
    /// let worker = UpstreamClient::new("http://127.0.0.1:1", 64)?;
    /// assert!(worker.health().await.is_err());
    /// # Ok(())
    /// # }
    /// ```
    pub fn new(base: impl Into<Name>, connections: usize) -> Result<Self, Error> {
        let base = base.into();
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            // The library's own retry would start a task a second time.
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(connections)
            .build()
            .map_err(|error| Error::Setup {
                peer: base.to_string(),
                reason: error_chain(&error),
            })?;
        Ok(Self {
            base,
            client,
            connections: Arc::new(Semaphore::new(connections)),
            max_answer_bytes: MAX_ANSWER_BYTES,
        })
    }

    /// Sets the limit on the size of an answer, in bytes.
    ///
    /// ```
    /// # fn main() -> Result<(), cassiarock_upstream::Error> {
    /// use cassiarock_upstream::UpstreamClient;
    /// let worker = UpstreamClient::new("http://127.0.0.1:1", 64)?.with_answer_limit(4096);
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub const fn with_answer_limit(mut self, bytes: usize) -> Self {
        self.max_answer_bytes = bytes;
        self
    }

    /// Runs a task and waits for its end.
    ///
    /// If the worker hangs, closes the connection, or sends anything but a complete valid
    /// answer to this run, it is unknown how the task ended: once the request may have been
    /// sent, all of these are [`Outcome::Lost`].
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// use cassiarock_id::{Job, Task, Wall};
    /// use cassiarock_test_support::worker;
    /// use cassiarock_upstream::{Outcome, Run, UpstreamClient};
    /// use std::time::{Duration, Instant};
    /// let standin = worker::Worker::new()?;
    /// let worker = UpstreamClient::new(standin.url(), 64)?;
    /// let run = Run {
    ///     job: Job::new(Wall::now()),
    ///     task: Task(0),
    ///     round: 1,
    ///     kind: "seat-check".into(),
    ///     payload: br#"{"run_ms": 5, "echo": "free"}"#.as_slice().into(),
    ///     limit: Duration::from_secs(2),
    /// };
    /// assert_eq!(worker.run(&run).await, Outcome::Done(br#""free""#.to_vec()));
    /// # Ok(())
    /// # }
    /// ```
    pub async fn run(&self, run: &Run) -> Outcome {
        let Some(request) = RunRequest::new(run) else {
            return Outcome::NotStarted("the payload is not JSON".to_owned());
        };
        let _connection = self.acquire_connection().await;
        let began = Instant::now();
        let outcome = self.attempt(run, &request).await;
        metrics::counter!("cassiarock_upstream_runs_total", "outcome" => outcome.label())
            .increment(1);
        metrics::histogram!("cassiarock_upstream_run_seconds").record(began.elapsed());
        outcome
    }

    async fn attempt(&self, run: &Run, request: &RunRequest<'_>) -> Outcome {
        match tokio::time::timeout(run.limit, self.exchange(request)).await {
            Ok(Ok(bytes)) => decode_outcome(run, &bytes),
            Ok(Err(RequestError::Unsent(reason))) => Outcome::NotStarted(reason),
            Ok(Err(RequestError::Sent(reason))) => Outcome::Lost(reason),
            Err(_) => self.stop_hung(run).await,
        }
    }

    /// Stops a task at the worker; `false` if it does not run there.
    ///
    /// # Errors
    /// If the worker gives no valid answer: the task may still be running.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # use cassiarock_test_support::worker;
    /// # use cassiarock_upstream::UpstreamClient;
    /// let standin = worker::Worker::new()?;
    /// let worker = UpstreamClient::new(standin.url(), 64)?;
    /// let job = cassiarock_id::Job::new(cassiarock_id::Wall::now());
    /// assert!(!worker.stop(job, cassiarock_id::Task(0)).await?);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn stop(&self, job: Job, task: Task) -> Result<bool, Error> {
        let url = format!("{}/v1/tasks/{job}/{task}", self.base);
        let response = self.control("stop", self.client.delete(url)).await?;
        match response.status().as_u16() {
            200 => Ok(true),
            404 => Ok(false),
            status => Err(self.call_error("stop", format!("status {status}"))),
        }
    }

    /// Asks the worker for its health.
    ///
    /// # Errors
    /// If the worker gives no valid answer.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # use cassiarock_test_support::worker;
    /// # use cassiarock_upstream::UpstreamClient;
    /// let standin = worker::Worker::new()?;
    /// let worker = UpstreamClient::new(standin.url(), 64)?;
    /// assert!(worker.health().await?.healthy);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn health(&self) -> Result<Health, Error> {
        self.get("health").await
    }

    /// Asks the worker for its usage.
    ///
    /// # Errors
    /// If the worker gives no valid answer.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # use cassiarock_test_support::worker;
    /// # use cassiarock_upstream::UpstreamClient;
    /// let standin = worker::Worker::new()?;
    /// let worker = UpstreamClient::new(standin.url(), 64)?;
    /// assert_eq!(worker.usage().await?.running, 0);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn usage(&self) -> Result<Usage, Error> {
        self.get("usage").await
    }

    /// Ends a run that exceeded its limit. A worker that never answers would hold the slot for
    /// ever, and nothing else reveals it. The stop is sent before the slot is released, so that
    /// a worker that is merely slow gets no additional work.
    async fn stop_hung(&self, run: &Run) -> Outcome {
        let reason = format!("no answer within {} ms", run.limit.as_millis());
        match self.stop(run.job, run.task).await {
            Ok(_) => Outcome::Lost(reason),
            Err(error) => Outcome::Lost(format!("{reason}, and {error}")),
        }
    }

    async fn exchange(&self, request: &RunRequest<'_>) -> Result<Vec<u8>, RequestError> {
        let url = format!("{}/v1/tasks", self.base);
        let response = self
            .client
            .post(url)
            .json(request)
            .send()
            .await
            .map_err(|error| classify(&error))?;
        read_body(response, self.max_answer_bytes)
            .await
            .map_err(RequestError::Sent)
    }

    async fn get<T: DeserializeOwned>(&self, step: &'static str) -> Result<T, Error> {
        let url = format!("{}/v1/{step}", self.base);
        let response = self.control(step, self.client.get(url)).await?;
        let body = read_body(response, MAX_CONTROL_ANSWER_BYTES);
        let body = tokio::time::timeout(CONTROL_TIMEOUT, body)
            .await
            .map_err(|_| self.call_error(step, "its answer breaks off".to_owned()))?;
        let body = body.map_err(|reason| self.call_error(step, reason))?;
        serde_json::from_slice(&body).map_err(|error| self.call_error(step, error.to_string()))
    }

    async fn control(
        &self,
        step: &'static str,
        request: reqwest::RequestBuilder,
    ) -> Result<Response, Error> {
        let request = request.timeout(CONTROL_TIMEOUT).send();
        request
            .await
            .map_err(|error| self.call_error(step, error_chain(&error)))
    }

    fn call_error(&self, step: &'static str, reason: String) -> Error {
        Error::Call {
            step,
            peer: self.base.to_string(),
            reason,
        }
    }

    /// Acquires a connection permit for a run. Control calls need no permit: they must get
    /// through when hanging runs hold every permit.
    async fn acquire_connection(&self) -> Option<SemaphorePermit<'_>> {
        self.connections.acquire().await.ok()
    }
}
