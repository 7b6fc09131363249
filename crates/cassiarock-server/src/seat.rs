//! What a connection keeps the listener waiting for, and since when.

use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What a connection is doing. The order is that in which connections are closed to make room.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u8)]
pub(crate) enum Stage {
    /// A request is awaited whole: the first one, or one that has been read in part.
    Receiving,
    /// Nothing of the next request has arrived.
    Idle,
    /// A request has arrived whole and is being answered.
    Serving,
}

/// The place of one connection among those of its listener.
#[derive(Debug)]
pub(crate) struct Seat {
    opened: Instant,
    stage: AtomicU8,
    /// When the stage began, in milliseconds after `opened`.
    since: AtomicU64,
    /// Bytes that the body of the request keeps.
    held: AtomicUsize,
    is_evicted: AtomicBool,
    evicted: Notify,
}

impl Seat {
    pub(crate) fn new() -> Self {
        Self {
            opened: Instant::now(),
            stage: AtomicU8::new(Stage::Receiving as u8),
            since: AtomicU64::new(0),
            held: AtomicUsize::new(0),
            is_evicted: AtomicBool::new(false),
            evicted: Notify::new(),
        }
    }

    pub(crate) fn stage(&self) -> Stage {
        match self.stage.load(Ordering::Relaxed) {
            stage if stage == Stage::Receiving as u8 => Stage::Receiving,
            stage if stage == Stage::Idle as u8 => Stage::Idle,
            _ => Stage::Serving,
        }
    }

    /// Begins a stage, unless it has begun already.
    pub(crate) fn enter(&self, stage: Stage) {
        if self.stage() != stage {
            let since = u64::try_from(self.opened.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.since.store(since, Ordering::Relaxed);
            self.stage.store(stage as u8, Ordering::Relaxed);
        }
    }

    /// How long the stage has lasted.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        let since = Duration::from_millis(self.since.load(Ordering::Relaxed));
        now.saturating_duration_since(self.opened)
            .saturating_sub(since)
    }

    /// Records how many bytes the body of the request keeps.
    pub(crate) fn hold(&self, bytes: usize) {
        self.held.store(bytes, Ordering::Relaxed);
    }

    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Asks the connection to close.
    pub(crate) fn evict(&self) {
        self.is_evicted.store(true, Ordering::Relaxed);
        self.evicted.notify_one();
    }

    /// Whether the connection has been asked to close.
    pub(crate) fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::Relaxed)
    }

    /// Waits until the connection is asked to close.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }
}
