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
    CallerArrives(usize, u32),
    /// A caller leaves that came for the n-th time.
    CallerLeaves(usize, u32),
    /// A message reaches a process.
    Frame(Box<Frame>),
    /// An entry does what is due.
    PollEntry(usize, u64),
    /// An agent does what is due.
    PollAgent(usize, u64),
    /// An agent polls its upstream, in this incarnation, and again later if it is a regular poll.
    PollUpstream(usize, u64, bool),
    /// An order reaches the upstream in this incarnation.
    StartTask(usize, u64, Task),
    /// A stop reaches the upstream in this incarnation.
    StopTask(usize, u64, Task),
    /// A run on the upstream ends by itself, in this incarnation.
    RunEnds(usize, u64, u64),
    /// A run crashes the upstream, in this incarnation of its agent.
    UpstreamCrashes(usize, u64, u64),
    /// The upstream is back, in this incarnation of its agent.
    UpstreamRestarts(usize, u64),
    /// A disturbance begins.
    DisturbanceBegins(usize),
    /// A disturbance is over.
    DisturbanceEnds(usize),
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
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    added: u64,
}

#[derive(Debug)]
struct ScheduledEvent {
    at: Duration,
    sequence: u64,
    event: Event,
}

impl EventQueue {
    pub(crate) fn add(&mut self, at: Duration, event: Event) {
        self.added += 1;
        let sequence = self.added;
        self.heap.push(Reverse(ScheduledEvent {
            at,
            sequence,
            event,
        }));
    }

    pub(crate) fn next(&mut self) -> Option<(Duration, Event)> {
        let Reverse(scheduled) = self.heap.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}

impl ScheduledEvent {
    const fn key(&self) -> (Duration, u64) {
        (self.at, self.sequence)
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}
