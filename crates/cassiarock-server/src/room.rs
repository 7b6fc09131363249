//! The connections of a listener and the memory of their bodies. Makes room when either runs out.

use crate::Bound;
use crate::memory::{Held, Memory};
use crate::seat::{Seat, Stage};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A connection that has kept the listener waiting for less is not closed to make room.
const MIN_AGE: Duration = Duration::from_secs(1);

/// The pause between two searches for connections to close. A search looks at all of them.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);

/// One in this many connections, and this share of the memory, is freed by one search.
const FREED_SHARE: usize = 16;

/// How long a body waits for memory, in so many steps.
const WAIT: Duration = Duration::from_secs(1);
const WAIT_STEPS: u32 = 4;

/// The connections of a listener and the memory of their bodies.
#[derive(Debug)]
pub(crate) struct Room {
    pub(crate) listener: &'static str,
    pub(crate) memory: Memory,
    connections: usize,
    next_id: AtomicU64,
    seats: Mutex<Seats>,
}

#[derive(Debug, Default)]
struct Seats {
    taken: HashMap<u64, Arc<Seat>>,
    last_search: Option<Instant>,
}

/// What room is needed for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Need {
    Connections,
    Memory,
}

impl Need {
    const fn label(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
        }
    }
}

impl Room {
    pub(crate) fn new(bound: &Bound) -> Self {
        Self {
            listener: bound.listener,
            memory: Memory::new(bound.bodies),
            connections: bound.connections,
            next_id: AtomicU64::new(0),
            seats: Mutex::default(),
        }
    }

    /// Adds a connection until the guard is dropped.
    pub(crate) fn seat(self: &Arc<Self>) -> SeatGuard {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let seat = Arc::new(Seat::new());
        self.lock().taken.insert(id, seat.clone());
        SeatGuard {
            room: self.clone(),
            id,
            seat,
        }
    }

    /// Grows the memory that the body of a request holds. Returns whether there was enough.
    pub(crate) async fn grow(&self, seat: &Seat, held: &mut Held, bytes: usize) -> bool {
        if self.memory.grow(held, bytes, Duration::ZERO).await {
            seat.hold(held.bytes());
            return true;
        }
        for _ in 0..WAIT_STEPS {
            self.make(Need::Memory);
            if self.memory.grow(held, bytes, WAIT / WAIT_STEPS).await {
                seat.hold(held.bytes());
                return true;
            }
        }
        false
    }

    /// Asks connections to close, unless that was done just now: for memory, those whose unfinished
    /// bodies keep the most; for connections, those that have kept the listener waiting longest.
    pub(crate) fn make(&self, need: Need) {
        let now = Instant::now();
        let mut seats = self.lock();
        let searched = seats.last_search;
        if searched.is_some_and(|last| now.duration_since(last) < SEARCH_PAUSE) {
            return;
        }
        seats.last_search = Some(now);
        let waiting = seats.taken.values().filter(|seat| is_evictable(seat, now));
        let mut waiting: Vec<_> = waiting
            .filter(|seat| need == Need::Connections || seat.held() > 0)
            .cloned()
            .collect();
        drop(seats);
        // The keys change while connections go on.
        match need {
            Need::Connections => {
                waiting.sort_by_cached_key(|seat| (seat.stage(), Reverse(seat.age(now))));
            }
            Need::Memory => waiting.sort_by_cached_key(|seat| Reverse(seat.held())),
        }
        let (mut connections, mut bytes) = (0, 0);
        for seat in &waiting {
            let is_enough = match need {
                Need::Connections => connections > self.connections / FREED_SHARE,
                Need::Memory => bytes > self.memory.bytes() / FREED_SHARE,
            };
            if is_enough {
                break;
            }
            connections += 1;
            bytes += seat.held();
            seat.evict();
        }
        if let Some(first) = waiting.first() {
            let age = first.age(now).as_millis();
            log::info!(listener = self.listener, need = need.label(), connections = connections, bytes = bytes, first_ms = age; "connections closed to make room");
            metrics::counter!("cassiarock_connections_evicted_total", "listener" => self.listener, "need" => need.label())
                .increment(connections as u64);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Seats> {
        // Nothing can panic while the lock is held.
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_evictable(seat: &Seat, now: Instant) -> bool {
    !seat.is_evicted() && seat.stage() != Stage::Serving && seat.age(now) >= MIN_AGE
}

/// The place of a connection, given up on drop.
#[derive(Debug)]
pub(crate) struct SeatGuard {
    pub(crate) room: Arc<Room>,
    pub(crate) seat: Arc<Seat>,
    id: u64,
}

impl Drop for SeatGuard {
    fn drop(&mut self) {
        self.room.lock().taken.remove(&self.id);
    }
}
