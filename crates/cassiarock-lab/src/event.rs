//! The simulation's events and their queue.

use cassiarock_id::Process;
use cassiarock_transient::Message;
use cassiarock_transient::host::Task;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

/// Something that happens to a process, an upstream or a caller.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A caller sends its job: caller and number of the attempt, from 1.
    CallerArrives(usize, u32),
    /// A caller disconnects that sent its job in this attempt.
    CallerLeaves(usize, u32),
    /// A message arrives at a process.
    Frame(Box<Frame>),
    /// The timer of an entry fires: entry and its incarnation.
    PollEntry(usize, u64),
    /// The timer of an agent fires: agent and its incarnation.
    PollAgent(usize, u64),
    /// An agent, in this incarnation, polls its upstream; a regular poll schedules the next one.
    PollUpstream(usize, u64, bool),
    /// A start request reaches the upstream, in this incarnation of its agent.
    StartTask(usize, u64, Task),
    /// A stop request reaches the upstream, in this incarnation of its agent.
    StopTask(usize, u64, Task),
    /// A run on the upstream ends by itself, in this incarnation of the agent.
    RunEnds(usize, u64, u64),
    /// A run crashes the upstream, in this incarnation of its agent.
    UpstreamCrashes(usize, u64, u64),
    /// A crashed upstream is back, in this incarnation of its agent.
    UpstreamRestarts(usize, u64),
    /// An entry is back after a loss.
    EntryStarts(usize),
    /// An agent is back after a loss.
    AgentStarts(usize),
    /// A link of an agent to an entry opens, each with its incarnation.
    LinkOpens((usize, u64), (usize, u64)),
    /// An upstream terminates as announced, in this incarnation of its agent.
    UpstreamLeaves(usize, u64),
    /// A disturbance begins, by its index in the scenario.
    DisturbanceBegins(usize),
    /// A disturbance ends, by its index in the scenario.
    DisturbanceEnds(usize),
}

/// A message in transit between two processes.
#[derive(Clone, Debug)]
pub(crate) struct Frame {
    pub(crate) from: Process,
    pub(crate) to: Process,
    pub(crate) message: Message,
}

/// Priority queue of events by time; events of equal time leave in insertion order.
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
