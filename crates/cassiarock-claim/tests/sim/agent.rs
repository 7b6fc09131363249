//! A simulated agent: its ledger, keeper, queue and running tasks.

use super::{Body, Message, RETENTION, Version, clock};
use crate::claim::keeper::Keeper;
use crate::claim::ledger::{CancelDecision, Ledger, StartDecision};
use crate::claim::message::{Cancel, Fence, Outcome, Reject, Start};
use crate::claim::view::View;
use crate::claim::{Ballot, RetentionLimit};
use cassiarock_id::{Job, Process, Task, Wall};
use std::collections::BTreeSet;
use std::time::Duration;

/// Places in an agent's queue; few, so that agents are sometimes full.
const QUEUE_CAPACITY: usize = 2;

#[derive(Debug)]
pub struct Agent {
    pub me: Process,
    pub ledger: Ledger,
    pub keeper: Keeper,
    /// The index in the log of the version that it holds.
    pub version_index: usize,
    /// When it adopted that version.
    pub adopted_at: u64,
    pub skew: u64,
    /// Waiting tasks, each with the hash of its submission.
    pub queue: Vec<(Job, Task, u64)>,
    /// Running tasks, each with the hash of its submission.
    pub running: Vec<(Job, Task, u64)>,
    pub paused: bool,
    pub leaving: bool,
    /// The index of the version that a hand-over is for, and the successors that have not
    /// confirmed it.
    pub handover: Option<(usize, BTreeSet<Process>)>,
    /// Members that refused a hand-over because they are leaving themselves.
    refusing: BTreeSet<Process>,
}

impl Agent {
    /// An agent with `memory_bytes` bytes each for its ledger and its keeper.
    pub fn new(
        me: Process,
        version_index: usize,
        log: &[Version],
        time: u64,
        skew: u64,
        memory_bytes: usize,
    ) -> Self {
        let mut ledger = Ledger::new(me.clone(), RetentionLimit::new(RETENTION, memory_bytes));
        ledger.set_view(log[version_index].view.version);
        Self {
            keeper: Keeper::new(me.clone(), RetentionLimit::new(RETENTION, memory_bytes)),
            me,
            ledger,
            version_index,
            adopted_at: time,
            skew,
            queue: Vec::new(),
            running: Vec::new(),
            paused: false,
            leaving: false,
            handover: None,
            refusing: BTreeSet::new(),
        }
    }

    pub fn read(&mut self, log: &[Version], time: u64) {
        if self.version_index + 1 < log.len() {
            self.version_index += 1;
            self.adopted_at = time;
            self.refusing.clear();
            self.ledger.set_view(log[self.version_index].view.version);
        }
    }

    pub fn handle(&mut self, message: Message, log: &[Version], time: u64) -> Vec<Message> {
        let now = clock(time, self.skew);
        let from = message.from;
        let view = &log[self.version_index].view;
        let body = match message.body {
            Body::Ping(sent) => {
                let adopted = Duration::from_millis(time - self.adopted_at);
                Body::Pong(view.version, adopted, sent)
            }
            Body::Ask(ask) => {
                let answer = self.keeper.answer(&ask, view, now);
                Body::Answer(ask.job, ask.ballot, ask.view, answer)
            }
            Body::Fence(fence) => self.fence(&fence, now),
            Body::Start(start) => match self.start(&start, now) {
                Some(body) => body,
                None => return Vec::new(),
            },
            Body::Cancel(cancel) => match self.cancel(&cancel) {
                Some(body) => body,
                None => return Vec::new(),
            },
            Body::HandOver(claims, records, floor) => {
                let accepted = self.ledger.accepts_handover_from(&from);
                if accepted {
                    self.keeper.accept_handover(claims);
                    self.ledger.accept_handover(records, floor);
                    self.handover = None;
                }
                Body::TakenOver(accepted)
            }
            Body::TakenOver(true) => {
                if let Some((_, missing)) = &mut self.handover {
                    missing.remove(&from);
                }
                return Vec::new();
            }
            Body::TakenOver(false) => {
                self.refusing.insert(from);
                return Vec::new();
            }
            _ => return Vec::new(),
        };
        vec![self.message(from, body)]
    }

    /// Removes a task from the queue, and returns it if it begins.
    pub fn begin(&mut self, at: usize) -> Option<(Job, Task, u64)> {
        let (job, task, digest) = self.queue.remove(at);
        if !self.ledger.begin(job, task) {
            return None;
        }
        self.running.push((job, task, digest));
        Some((job, task, digest))
    }

    pub fn end(&mut self, at: usize, outcome: impl Fn(Job, Task, u64) -> Outcome) -> Vec<Message> {
        let (job, task, digest) = self.running.remove(at);
        let outcome = outcome(job, task, digest);
        let notified = self.ledger.end(job, task, outcome.clone());
        let ended = |ballot: Ballot| {
            let entry = ballot.entry.clone();
            self.message(entry, Body::Ended(job, ballot, task, outcome.clone()))
        };
        notified.into_iter().map(ended).collect()
    }

    pub fn revert(&mut self, at: usize) -> (Job, Task, Vec<Message>) {
        let (job, task, _) = self.running.remove(at);
        let notified = self.ledger.revert_begin(job, task).into_iter();
        let full = Reject::Full;
        let rejected = |(ballot, placement): (Ballot, u32)| {
            let entry = ballot.entry.clone();
            let body = Body::Rejected(job, ballot, task, placement, full.clone());
            self.message(entry, body)
        };
        (job, task, notified.map(rejected).collect())
    }

    /// Sends its records and claims to their successors under the version that it holds.
    pub fn hand_over(&mut self, log: &[Version]) -> Vec<Message> {
        let view = &log[self.version_index].view;
        let rest = view.without(&self.me);
        let accepting = rest.members.iter().filter(|m| !self.refusing.contains(m));
        let accepting = View::new(view.version, accepting.cloned());
        // One copy is enough only if the remaining members are too few for an exempt keeper.
        let copies = if rest.members.len() >= 3 { 2 } else { 1 };
        if accepting.members.len() < copies {
            return Vec::new();
        }
        let view = &accepting;
        let mut claims = self.keeper.hand_over(view);
        let mut records = self.ledger.hand_over(view);
        let to: BTreeSet<_> = claims.iter().map(|(to, _)| to.clone()).collect();
        let to: BTreeSet<_> = records.iter().map(|(to, _)| to.clone()).chain(to).collect();
        let floor = self.ledger.floor();
        let mut sent = Vec::new();
        for to in &to {
            let claims = claims.iter_mut().find(|(other, _)| other == to);
            let claims = claims.map(|(_, records)| std::mem::take(records));
            let records = records.iter_mut().find(|(other, _)| other == to);
            let records = records.map(|(_, records)| std::mem::take(records));
            let body = Body::HandOver(
                claims.unwrap_or_default(),
                records.unwrap_or_default(),
                floor,
            );
            sent.push(self.message(to.clone(), body));
        }
        self.handover = Some((self.version_index, to));
        sent
    }

    fn start(&mut self, start: &Start, now: Wall) -> Option<Body> {
        let rejected = |reject| {
            let ballot = start.ballot.clone();
            Body::Rejected(start.job, ballot, start.task, start.placement, reject)
        };
        match self.ledger.start(start, now) {
            StartDecision::Run if self.queue.len() >= QUEUE_CAPACITY => {
                self.ledger.withdraw_start(start);
                Some(rejected(Reject::Full))
            }
            StartDecision::Run => {
                self.queue.push((start.job, start.task, start.digest));
                None
            }
            StartDecision::Attached => None,
            StartDecision::Ended(outcome) => Some(Body::Ended(
                start.job,
                start.ballot.clone(),
                start.task,
                outcome,
            )),
            StartDecision::Rejected(reject) => Some(rejected(reject)),
        }
    }

    fn cancel(&mut self, cancel: &Cancel) -> Option<Body> {
        let (job, task) = (cancel.job, cancel.task);
        let rejected = |reject| {
            let ballot = cancel.ballot.clone();
            Some(Body::Rejected(job, ballot, task, cancel.placement, reject))
        };
        match self.ledger.cancel(cancel) {
            CancelDecision::Never => {
                self.queue
                    .retain(|(other, queued, _)| (*other, *queued) != (job, task));
                rejected(Reject::Cancelled)
            }
            CancelDecision::Running => None,
            CancelDecision::Ended(outcome) => {
                Some(Body::Ended(job, cancel.ballot.clone(), task, outcome))
            }
            CancelDecision::Rejected(reject) => rejected(reject),
        }
    }

    fn fence(&mut self, fence: &Fence, now: Wall) -> Body {
        match self.ledger.fence(fence, now) {
            Ok(fenced) => {
                let is_withdrawn = |task: &Task| fenced.withdrawn.contains(task);
                let job = fence.job;
                self.queue
                    .retain(|(other, task, _)| *other != job || !is_withdrawn(task));
                Body::Report(fenced.report)
            }
            Err(reject) => Body::Unfenced(fence.job, fence.ballot.clone(), reject),
        }
    }

    fn message(&self, to: Process, body: Body) -> Message {
        Message {
            from: self.me.clone(),
            to,
            body,
        }
    }
}
