//! Forwards messages of other parts of a process to its actor's inputs.

use tokio::sync::{mpsc, watch};

/// Forwards every message as an input until either channel is closed.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let (sender, from) = tokio::sync::mpsc::channel(1);
/// let (to, mut inputs) = tokio::sync::mpsc::channel(1);
/// sender.send(3).await.ok();
/// drop(sender);
/// cassiarock_process::forward(from, to, |number| number + 1).await;
/// assert_eq!(inputs.recv().await, Some(4));
/// # }
/// ```
pub async fn forward<T, U>(
    mut from: mpsc::Receiver<T>,
    to: mpsc::Sender<U>,
    input: impl Fn(T) -> U,
) {
    while let Some(message) = from.recv().await {
        if to.send(input(message)).await.is_err() {
            return;
        }
    }
}

/// Forwards each change as an input. Of several changes in quick succession, only the last may
/// be forwarded.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let (sender, from) = tokio::sync::watch::channel(1);
/// let (to, mut inputs) = tokio::sync::mpsc::channel(1);
/// sender.send_replace(2);
/// drop(sender);
/// cassiarock_process::forward_latest(from, to, |number| number).await;
/// assert_eq!(inputs.recv().await, Some(2));
/// # }
/// ```
pub async fn forward_latest<T: Clone, U>(
    mut from: watch::Receiver<T>,
    to: mpsc::Sender<U>,
    input: impl Fn(T) -> U,
) {
    while from.changed().await.is_ok() {
        let latest = from.borrow_and_update().clone();
        if to.send(input(latest)).await.is_err() {
            return;
        }
    }
}
