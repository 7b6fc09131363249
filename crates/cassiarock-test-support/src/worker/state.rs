//! What the stand-in's handlers share.

use super::tally::Key;
use super::{Fault, Tally};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// How far the reported usage lags behind.
const LAG: Duration = Duration::from_millis(500);

/// Counts, the fault that is switched on, and the running tasks.
pub(super) struct State {
    fault: watch::Sender<Fault>,
    tally: Mutex<Tally>,
    stops: Mutex<BTreeMap<Key, Arc<Notify>>>,
    running: AtomicUsize,
    peak: AtomicUsize,
    reported: AtomicUsize,
    leaving: AtomicBool,
}

/// A running task; ends when dropped, also when its connection is closed.
pub(super) struct Running {
    key: Key,
    state: Arc<State>,
    pub(super) stop: Arc<Notify>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            fault: watch::Sender::new(Fault::None),
            tally: Mutex::default(),
            stops: Mutex::default(),
            running: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            reported: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
        }
    }
}

impl State {
    pub(super) fn fault(&self) -> Fault {
        *self.fault.borrow()
    }

    pub(super) fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    pub(super) fn leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    pub(super) fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    pub(super) fn tally(&self) -> Tally {
        lock(&self.tally).clone()
    }

    pub(super) fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    pub(super) fn peak(&self) -> usize {
        self.peak.load(Ordering::SeqCst)
    }

    pub(super) fn reported(&self) -> usize {
        self.reported.load(Ordering::SeqCst)
    }

    /// Counts a start; the guard is the running task.
    pub(super) fn start(self: &Arc<Self>, key: Key, round: u32) -> Running {
        lock(&self.tally).count(key, round);
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(running, Ordering::SeqCst);
        let stop = Arc::new(Notify::new());
        lock(&self.stops).insert(key, stop.clone());
        Running {
            key,
            state: self.clone(),
            stop,
        }
    }

    /// Stops a task; false if it does not run.
    pub(super) fn stop(&self, key: Key) -> bool {
        let stop = lock(&self.stops).get(&key).cloned();
        stop.map(|stop| stop.notify_one()).is_some()
    }

    /// Never returns while the stand-in hangs.
    pub(super) async fn hang(&self) {
        let mut fault = self.fault.subscribe();
        let _ = fault.wait_for(|fault| *fault != Fault::Hang).await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        lock(&self.state.stops).remove(&self.key);
        self.state.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Refreshes the reported usage for ever.
pub(super) async fn sample(state: Arc<State>) {
    let mut ticks = tokio::time::interval(LAG);
    loop {
        ticks.tick().await;
        state.reported.store(state.running(), Ordering::SeqCst);
    }
}

/// A test that panicked with the lock held has failed already; the counts still hold.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
