//! The accepted connections whose peers have not proved the key yet.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A connection is closed for a newer one only if its handshake has taken this long. Otherwise, many
/// peers that dial at once would end each other's handshakes.
const MIN_AGE: Duration = Duration::from_millis(500);

/// The accepted connections whose peers have not proved the key yet, oldest first.
#[derive(Debug)]
pub(crate) struct Unproven {
    limit: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    last_id: u64,
    waiting: VecDeque<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    id: u64,
    since: Instant,
    /// Dropped to close the connection.
    _close: oneshot::Sender<()>,
}

impl Unproven {
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            state: Mutex::default(),
        })
    }

    /// Adds a connection until the ticket is dropped. At the limit, the oldest one is closed for it;
    /// `None` if that is too young.
    pub(crate) fn admit(self: &Arc<Self>) -> Option<Ticket> {
        let now = Instant::now();
        let mut state = self.lock();
        if state.waiting.len() >= self.limit {
            let oldest = state.waiting.front()?;
            if now.duration_since(oldest.since) < MIN_AGE {
                return None;
            }
            state.waiting.pop_front();
        }
        state.last_id += 1;
        let id = state.last_id;
        let (close, closed) = oneshot::channel();
        state.waiting.push_back(Waiting {
            id,
            since: now,
            _close: close,
        });
        drop(state);
        Some(Ticket {
            unproven: self.clone(),
            id,
            closed,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Nothing can panic while the lock is held.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The place of one such connection.
#[derive(Debug)]
pub(crate) struct Ticket {
    unproven: Arc<Unproven>,
    id: u64,
    closed: oneshot::Receiver<()>,
}

impl Ticket {
    /// Waits until the connection is to be closed for a newer one.
    pub(crate) async fn closed(&mut self) {
        // The sender is dropped, and never used.
        let _ = (&mut self.closed).await;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.unproven.lock();
        state.waiting.retain(|waiting| waiting.id != self.id);
    }
}
