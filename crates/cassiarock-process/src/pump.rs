//! Collects a process's inputs into batches for its actor.

use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Inputs handed over at once. Deciding on a batch costs one pass over what is due, so
/// that under load the passes do not grow with the inputs; more would delay the first.
const BATCH: usize = 256;

/// Inputs that may wait. A process that is this far behind makes its links wait.
pub const BACKLOG: usize = 16_384;

/// The longest pause between two passes, so that deadlines, evictions and heartbeats are
/// seen to without input.
const LONGEST: Duration = Duration::from_millis(100);

/// The shortest pause: what is due and cannot be done yet must not spin.
const SHORTEST: Duration = Duration::from_millis(1);

/// The receiving end of a process's inputs.
#[derive(Debug)]
pub struct Pump<T> {
    inputs: mpsc::Receiver<T>,
}

impl<T> Pump<T> {
    /// A pump of `inputs`.
    #[must_use]
    pub const fn new(inputs: mpsc::Receiver<T>) -> Self {
        Self { inputs }
    }

    /// The inputs that have come, waiting at most `idle` for the first; none if nothing
    /// came in that time. Ends when all senders are gone.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// use std::time::Duration;
    /// let (sender, inputs) = tokio::sync::mpsc::channel(8);
    /// let mut pump = cassiarock_process::Pump::new(inputs);
    /// sender.send(1).await.ok();
    /// assert_eq!(pump.next(Duration::MAX).await, Some(vec![1]));
    /// assert_eq!(pump.next(Duration::ZERO).await, Some(vec![]));
    /// drop(sender);
    /// assert_eq!(pump.next(Duration::MAX).await, None);
    /// # }
    /// ```
    pub async fn next(&mut self, idle: Duration) -> Option<Vec<T>> {
        let mut batch = Vec::new();
        let received = self.inputs.recv_many(&mut batch, BATCH);
        match timeout(idle.clamp(SHORTEST, LONGEST), received).await {
            Ok(0) => None,
            Ok(_) | Err(_) => Some(batch),
        }
    }

    /// Hands the inputs to an actor in batches, until it or all senders are gone. The actor
    /// answers for how long nothing is due.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let (sender, inputs) = tokio::sync::mpsc::channel(8);
    /// sender.send(1).await.ok();
    /// let pump = cassiarock_process::Pump::new(inputs);
    /// pump.drive(|batch| async move {
    ///     assert_eq!(batch, [1]);
    ///     None
    /// })
    /// .await;
    /// # }
    /// ```
    pub async fn drive<F>(mut self, mut handle: impl FnMut(Vec<T>) -> F)
    where
        F: Future<Output = Option<Duration>>,
    {
        let mut idle = Duration::ZERO;
        while let Some(batch) = self.next(idle).await {
            let Some(next) = handle(batch).await else {
                return;
            };
            idle = next;
        }
    }
}
