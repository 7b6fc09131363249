//! Collects a process's inputs into batches for its actor.

use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Limit of inputs in a batch. Each batch costs one pass over what is due, so under load the
/// number of passes does not grow with the inputs; larger batches would delay the first input.
const MAX_BATCH: usize = 256;

/// Capacity of the input queue. When it is full, the links of the process have to wait.
pub const BACKLOG: usize = 16_384;

/// The longest pause between two passes, so that deadlines, evictions and heartbeats are
/// handled without input.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// The shortest pause, so that work that is due but cannot be done yet causes no busy loop.
const MIN_PAUSE: Duration = Duration::from_millis(1);

/// The receiving end of a process's inputs.
#[derive(Debug)]
pub struct Pump<T> {
    inputs: mpsc::Receiver<T>,
}

impl<T> Pump<T> {
    /// Creates a pump that reads `inputs`.
    #[must_use]
    pub const fn new(inputs: mpsc::Receiver<T>) -> Self {
        Self { inputs }
    }

    /// Returns the inputs received, waiting at most `idle` for the first; an empty batch if
    /// nothing arrived in that time, and `None` when all senders are gone.
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
        let received = self.inputs.recv_many(&mut batch, MAX_BATCH);
        match timeout(idle.clamp(MIN_PAUSE, MAX_PAUSE), received).await {
            Ok(0) => None,
            Ok(_) | Err(_) => Some(batch),
        }
    }

    /// Passes the inputs to an actor in batches until the actor returns `None` or all senders are
    /// gone. The actor returns for how long nothing is due.
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
