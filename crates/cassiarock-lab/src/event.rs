//! What is to happen, in its order.

use cassiarock_id::Process;
use cassiarock_transient::Message;
use cassiarock_transient::host::Task;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

/// Something that happens to a process, an upstream or a caller.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A caller comes, for the n-th time.
    Come(usize, u32),
    /// A caller leaves that came for the n-th time.
    Leave(usize, u32),
    /// A message reaches a process.
    Frame(Box<Frame>),
    /// An entry does what is due.
    WakeEntry(usize, u64),
    /// An agent does what is due.
    WakeAgent(usize, u64),
    /// An agent polls its upstream, in this life, and again later if it is a regular poll.
    Poll(usize, u64, bool),
    /// An order reaches the upstream in this life.
    Start(usize, u64, Task),
    /// A stop reaches the upstream in this life.
    Stop(usize, u64, Task),
    /// A run on the upstream ends by itself, in this life.
    End(usize, u64, u64),
    /// A run crashes the upstream, in this life of its agent.
    Crash(usize, u64, u64),
    /// The upstream is back, in this life of its agent.
    Return(usize, u64),
    /// A disturbance begins.
    Begin(usize),
    /// A disturbance is over.
    Over(usize),
}

/// A message on its way.
#[derive(Clone, Debug)]
pub(crate) struct Frame {
    pub(crate) from: Process,
    pub(crate) to: Process,
    pub(crate) message: Message,
}

/// Events by time; those of one time in the order in which they were added.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    heap: BinaryHeap<Reverse<Entry>>,
    added: u64,
}

#[derive(Debug)]
struct Entry {
    at: Duration,
    number: u64,
    event: Event,
}

impl Agenda {
    pub(crate) fn add(&mut self, at: Duration, event: Event) {
        self.added += 1;
        let number = self.added;
        self.heap.push(Reverse(Entry { at, number, event }));
    }

    pub(crate) fn next(&mut self) -> Option<(Duration, Event)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}

impl Entry {
    const fn key(&self) -> (Duration, u64) {
        (self.at, self.number)
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}
