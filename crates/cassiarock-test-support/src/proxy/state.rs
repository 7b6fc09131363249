//! What a proxy's connections share.

use super::fault::{Direction, Fault, Faults, Scope};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// The target, the faults, and the open connections.
#[derive(Debug, Default)]
pub(super) struct State {
    inner: Mutex<Inner>,
    bytes: AtomicU64,
}

#[derive(Debug, Default)]
struct Inner {
    target: Option<SocketAddr>,
    new: Faults,
    accepted: usize,
    open: BTreeMap<usize, watch::Sender<Faults>>,
}

/// One open connection; it counts as closed when dropped.
pub(super) struct Connection {
    number: usize,
    state: Arc<State>,
    pub(super) target: Option<SocketAddr>,
    pub(super) faults: watch::Receiver<Faults>,
}

impl State {
    pub(super) fn set_target(&self, target: SocketAddr) {
        self.lock().target = Some(target);
    }

    pub(super) fn set(&self, scope: Scope, direction: Direction, fault: Fault) {
        let mut inner = self.lock();
        if matches!(scope, Scope::New | Scope::All) {
            inner.new.set(direction, fault);
        }
        let hit = |number: usize| match scope {
            Scope::New => false,
            Scope::One(one) => number == one,
            Scope::Existing | Scope::All => true,
        };
        for (_, faults) in inner.open.iter().filter(|(number, _)| hit(**number)) {
            faults.send_modify(|faults| faults.set(direction, fault));
        }
    }

    pub(super) fn open(&self) -> usize {
        self.lock().open.len()
    }

    pub(super) fn accepted(&self) -> usize {
        self.lock().accepted
    }

    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::SeqCst)
    }

    pub(super) fn count(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.bytes.fetch_add(bytes, Ordering::SeqCst);
    }

    pub(super) fn connect(self: &Arc<Self>) -> Connection {
        let mut inner = self.lock();
        let number = inner.accepted;
        inner.accepted += 1;
        let (sender, faults) = watch::channel(inner.new);
        inner.open.insert(number, sender);
        Connection {
            number,
            state: self.clone(),
            target: inner.target,
            faults,
        }
    }

    /// A test that panicked with the lock held has failed already.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.state.lock().open.remove(&self.number);
    }
}
