//! An entry: its view of the membership and an owner per job.

use super::truth::Truth;
use super::{Body, KEPT, LEASE, MARGIN, Message, TASKS, Version, clock};
use crate::claim::Ballot;
use crate::claim::owner::{Action, Event, JobOutcome, Owner};
use crate::claim::view::{Timing, ViewHistory};
use cassiarock_id::{Job, Process, Wall};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How long a start is valid.
const START: Duration = Duration::from_secs(5);

/// A job at an entry.
#[derive(Debug)]
pub struct Held {
    pub owner: Owner,
    digest: u64,
    submissions: Vec<u32>,
    waiters: Vec<Process>,
    end: Option<JobOutcome>,
}

#[derive(Debug)]
pub struct Entry {
    pub me: Process,
    pub views: ViewHistory,
    /// How many versions it has read.
    pub held: usize,
    pub skew: u64,
    pub paused: bool,
    pub jobs: BTreeMap<Job, Held>,
    serial: u64,
}

impl Entry {
    pub fn new(me: Process, skew: u64) -> Self {
        let timing = Timing::new(LEASE, MARGIN, KEPT);
        Self {
            me,
            views: ViewHistory::new(timing, Wall::from_millis(0)),
            held: 0,
            skew,
            paused: false,
            jobs: BTreeMap::new(),
            serial: 0,
        }
    }

    pub fn read(&mut self, log: &[Version], time: u64, truth: &mut Truth) -> Vec<Message> {
        let Some(version) = log.get(self.held) else {
            return Vec::new();
        };
        self.held += 1;
        if let Some(retired) = version.retired.clone() {
            self.views.record_retirement(retired, version.view.version);
        }
        self.views.adopt(version.view.clone());
        self.all(&Event::ViewChanged, time, truth)
    }

    pub fn submit(
        &mut self,
        job: Job,
        digest: u64,
        submission: u32,
        admitted: bool,
        time: u64,
        truth: &mut Truth,
    ) -> Vec<Message> {
        if let Some(held) = self.jobs.get_mut(&job) {
            match &held.end {
                _ if held.digest != digest => {
                    truth.answer(submission, job, digest, &JobOutcome::Mismatch);
                }
                Some(end) => truth.answer(submission, job, digest, end),
                None => held.submissions.push(submission),
            }
            return Vec::new();
        }
        self.serial += 1;
        let ballot = Ballot::new(Ballot::FRESH, self.me.clone()).with_serial(self.serial);
        let held = Held {
            owner: Owner::new(job, digest, TASKS, ballot),
            digest,
            submissions: vec![submission],
            waiters: Vec::new(),
            end: None,
        };
        self.jobs.insert(job, held);
        if !admitted {
            self.event(job, Event::Cancelled, time, truth);
        }
        self.event(job, Event::Submitted, time, truth)
    }

    /// Places all startable tasks, each at one of `agents`.
    pub fn place(&mut self, agents: &[Process], choice: usize, time: u64) -> Vec<Message> {
        let mut sent = Vec::new();
        let start_by = clock(time, self.skew).plus(START);
        for held in self.jobs.values_mut() {
            let tasks: Vec<_> = held.owner.startable_tasks().collect();
            for task in tasks {
                let agent = &agents[(choice + task.index()) % agents.len()];
                let start = held.owner.place(task, agent, start_by, &self.views);
                let body = start.map(Body::Start);
                let to = |body| message(&self.me, agent.clone(), body);
                sent.extend(body.map(to));
            }
        }
        sent
    }

    /// Tells all owners.
    pub fn all(&mut self, event: &Event, time: u64, truth: &mut Truth) -> Vec<Message> {
        let jobs: Vec<_> = self.jobs.keys().copied().collect();
        let tell = |job| self.event(job, event.clone(), time, truth);
        jobs.into_iter().flat_map(tell).collect()
    }

    pub fn event(&mut self, job: Job, event: Event, time: u64, truth: &mut Truth) -> Vec<Message> {
        let now = clock(time, self.skew);
        let mut sent = Vec::new();
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let Some(held) = self.jobs.get_mut(&job).filter(|held| held.end.is_none()) else {
                break;
            };
            for action in held.owner.step(event, &self.views, now) {
                match action {
                    Action::RequestClaim { keeper, request } => {
                        sent.push((keeper, Body::Ask(request)))
                    }
                    Action::Fence { agent, fence } => sent.push((agent, Body::Fence(fence))),
                    Action::Start { agent, start } => sent.push((agent, Body::Start(start))),
                    Action::Cancel { agent, cancel } => sent.push((agent, Body::Cancel(cancel))),
                    Action::Place => {}
                    Action::Attach(owner) if owner.entry == self.me => {
                        events.push_back(Event::OwnerLost);
                    }
                    Action::Attach(owner) => {
                        sent.push((owner.entry.clone(), Body::Attach(job, owner)));
                    }
                    Action::Finish(end) => {
                        let whole = held.finish(job, end, truth);
                        sent.extend(whole);
                    }
                }
            }
        }
        let me = &self.me;
        sent.into_iter()
            .map(|(to, body)| message(me, to, body))
            .collect()
    }

    pub fn handle(&mut self, message: Message, time: u64, truth: &mut Truth) -> Vec<Message> {
        let now = clock(time, self.skew);
        let agent = message.from;
        let (job, event) = match message.body {
            Body::Pong(version, adopted, sent) => {
                self.views.confirm(&agent, version, adopted, sent, now);
                return Vec::new();
            }
            Body::Answer(job, ballot, view, reply) => {
                let held = self.jobs.get(&job);
                if !held.is_some_and(|held| held.owner.ballot().same_owner(&ballot)) {
                    return Vec::new();
                }
                (job, Event::ClaimReply { view, reply })
            }
            Body::Report(report) => (report.job, Event::Report { agent, report }),
            Body::Unfenced(job, ballot, reject) => {
                let held = self.jobs.get(&job);
                if held.is_none_or(|held| *held.owner.ballot() != ballot) {
                    return Vec::new();
                }
                (job, Event::FenceRejected { agent, reject })
            }
            Body::Rejected(job, ballot, task, placement, reject) => {
                let event = Event::Rejected {
                    ballot,
                    task,
                    placement,
                    reject,
                };
                (job, event)
            }
            Body::Ended(job, ballot, task, outcome) => {
                let event = Event::Ended {
                    ballot,
                    task,
                    outcome,
                };
                (job, event)
            }
            Body::Attach(job, ballot) => return self.attached(agent, job, &ballot),
            Body::Whole(job, None) => (job, Event::OwnerLost),
            Body::Whole(job, Some(end)) => return self.whole(job, end, truth),
            _ => return Vec::new(),
        };
        self.event(job, event, time, truth)
    }

    /// Asks the owners attached to for their answers again, or replaces those gone.
    pub fn reattach(&mut self, alive: &[Process], time: u64, truth: &mut Truth) -> Vec<Message> {
        let attached = |(job, held): (&Job, &Held)| {
            let owner = held.owner.attached_to().filter(|_| held.end.is_none());
            Some((*job, owner?.clone()))
        };
        let attached: Vec<_> = self.jobs.iter().filter_map(attached).collect();
        let mut sent = Vec::new();
        for (job, owner) in attached {
            if alive.contains(&owner.entry) {
                let body = Body::Attach(job, owner.clone());
                sent.push(message(&self.me, owner.entry, body));
            } else {
                sent.extend(self.event(job, Event::OwnerLost, time, truth));
            }
        }
        sent
    }

    /// The submissions without an answer.
    pub fn unanswered(&self) -> impl Iterator<Item = u32> {
        let held = self.jobs.values();
        held.flat_map(|held| held.submissions.iter().copied())
    }

    /// Forgets a job that has its answer.
    pub fn forget(&mut self, job: Job) {
        if self.jobs.get(&job).is_some_and(|held| held.end.is_some()) {
            self.jobs.remove(&job);
        }
    }

    fn attached(&mut self, waiter: Process, job: Job, ballot: &Ballot) -> Vec<Message> {
        let end = match self.jobs.get_mut(&job) {
            Some(held) if held.end.is_none() && held.owner.holds(ballot) => {
                held.waiters.push(waiter);
                return Vec::new();
            }
            Some(held) => held.end.clone(),
            None => None,
        };
        vec![message(&self.me, waiter, Body::Whole(job, end))]
    }

    fn whole(&mut self, job: Job, end: JobOutcome, truth: &mut Truth) -> Vec<Message> {
        let Some(held) = self.jobs.get_mut(&job).filter(|held| held.end.is_none()) else {
            return Vec::new();
        };
        let sent = held.finish(job, end, truth);
        let to = |(to, body)| message(&self.me, to, body);
        sent.into_iter().map(to).collect()
    }
}

impl Held {
    fn finish(&mut self, job: Job, end: JobOutcome, truth: &mut Truth) -> Vec<(Process, Body)> {
        let gathered = self.owner.ballot().round > Ballot::FRESH;
        truth.gathered += usize::from(gathered && matches!(end, JobOutcome::Complete(_)));
        for submission in self.submissions.drain(..) {
            truth.answer(submission, job, self.digest, &end);
        }
        self.end = Some(end.clone());
        let whole = |waiter| (waiter, Body::Whole(job, Some(end.clone())));
        self.waiters.drain(..).map(whole).collect()
    }
}

fn message(from: &Process, to: Process, body: Body) -> Message {
    Message {
        from: from.clone(),
        to,
        body,
    }
}
