//! A simulated entry: its membership history and one owner per job.

use super::oracle::Oracle;
use super::{Body, LEASE, MARGIN, Message, RETENTION, TASKS_PER_JOB, Version, clock};
use crate::claim::Ballot;
use crate::claim::owner::{Action, Event, JobOutcome, Owner};
use crate::claim::view::{Timing, ViewHistory};
use cassiarock_id::{Job, Process, Wall};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How long a start is valid.
const START_VALIDITY: Duration = Duration::from_secs(5);

/// A job that an entry holds.
#[derive(Debug)]
pub struct HeldJob {
    pub owner: Owner,
    digest: u64,
    submissions: Vec<u32>,
    waiters: Vec<Process>,
    outcome: Option<JobOutcome>,
}

#[derive(Debug)]
pub struct Entry {
    pub me: Process,
    pub views: ViewHistory,
    /// The number of versions that it has read from the log.
    pub versions_read: usize,
    pub skew: u64,
    pub paused: bool,
    pub jobs: BTreeMap<Job, HeldJob>,
    serial: u64,
}

impl Entry {
    pub fn new(me: Process, skew: u64) -> Self {
        let timing = Timing::new(LEASE, MARGIN, RETENTION);
        Self {
            me,
            views: ViewHistory::new(timing, Wall::from_millis(0)),
            versions_read: 0,
            skew,
            paused: false,
            jobs: BTreeMap::new(),
            serial: 0,
        }
    }

    pub fn read(&mut self, log: &[Version], time: u64, oracle: &mut Oracle) -> Vec<Message> {
        let Some(version) = log.get(self.versions_read) else {
            return Vec::new();
        };
        self.versions_read += 1;
        if let Some(retired) = version.retired.clone() {
            self.views.record_retirement(retired, version.view.version);
        }
        self.views.adopt(version.view.clone());
        self.step_all_owners(&Event::ViewChanged, time, oracle)
    }

    pub fn submit(
        &mut self,
        job: Job,
        digest: u64,
        submission: u32,
        admitted: bool,
        time: u64,
        oracle: &mut Oracle,
    ) -> Vec<Message> {
        if let Some(held) = self.jobs.get_mut(&job) {
            match &held.outcome {
                _ if held.digest != digest => {
                    oracle.answer(submission, job, digest, &JobOutcome::Mismatch);
                }
                Some(outcome) => oracle.answer(submission, job, digest, outcome),
                None => held.submissions.push(submission),
            }
            return Vec::new();
        }
        self.serial += 1;
        let ballot = Ballot::new(Ballot::FRESH, self.me.clone()).with_serial(self.serial);
        let held = HeldJob {
            owner: Owner::new(job, digest, TASKS_PER_JOB, ballot),
            digest,
            submissions: vec![submission],
            waiters: Vec::new(),
            outcome: None,
        };
        self.jobs.insert(job, held);
        if !admitted {
            self.step_owner(job, Event::Cancelled, time, oracle);
        }
        self.step_owner(job, Event::Submitted, time, oracle)
    }

    /// Places all startable tasks, each at one of `agents`.
    pub fn place(&mut self, agents: &[Process], choice: usize, time: u64) -> Vec<Message> {
        let mut sent = Vec::new();
        let start_by = clock(time, self.skew).plus(START_VALIDITY);
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

    /// Passes an event to all owners.
    pub fn step_all_owners(
        &mut self,
        event: &Event,
        time: u64,
        oracle: &mut Oracle,
    ) -> Vec<Message> {
        let jobs: Vec<_> = self.jobs.keys().copied().collect();
        let step = |job| self.step_owner(job, event.clone(), time, oracle);
        jobs.into_iter().flat_map(step).collect()
    }

    pub fn step_owner(
        &mut self,
        job: Job,
        event: Event,
        time: u64,
        oracle: &mut Oracle,
    ) -> Vec<Message> {
        let now = clock(time, self.skew);
        let mut sent = Vec::new();
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let Some(held) = self
                .jobs
                .get_mut(&job)
                .filter(|held| held.outcome.is_none())
            else {
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
                    Action::Finish(outcome) => {
                        let results = held.finish(job, outcome, oracle);
                        sent.extend(results);
                    }
                }
            }
        }
        let me = &self.me;
        sent.into_iter()
            .map(|(to, body)| message(me, to, body))
            .collect()
    }

    pub fn handle(&mut self, message: Message, time: u64, oracle: &mut Oracle) -> Vec<Message> {
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
            Body::Attach(job, ballot) => return self.handle_attach(agent, job, &ballot),
            Body::FinalResult(job, None) => (job, Event::OwnerLost),
            Body::FinalResult(job, Some(outcome)) => {
                return self.handle_final_result(job, outcome, oracle);
            }
            _ => return Vec::new(),
        };
        self.step_owner(job, event, time, oracle)
    }

    /// Attaches again to the owners that jobs wait for, or replaces them if their entry has
    /// ended.
    pub fn reattach(&mut self, alive: &[Process], time: u64, oracle: &mut Oracle) -> Vec<Message> {
        let attached = |(job, held): (&Job, &HeldJob)| {
            let owner = held.owner.attached_to().filter(|_| held.outcome.is_none());
            Some((*job, owner?.clone()))
        };
        let attached: Vec<_> = self.jobs.iter().filter_map(attached).collect();
        let mut sent = Vec::new();
        for (job, owner) in attached {
            if alive.contains(&owner.entry) {
                let body = Body::Attach(job, owner.clone());
                sent.push(message(&self.me, owner.entry, body));
            } else {
                sent.extend(self.step_owner(job, Event::OwnerLost, time, oracle));
            }
        }
        sent
    }

    /// The submissions without an answer.
    pub fn unanswered(&self) -> impl Iterator<Item = u32> {
        let held = self.jobs.values();
        held.flat_map(|held| held.submissions.iter().copied())
    }

    /// Removes a job that has been answered.
    pub fn forget(&mut self, job: Job) {
        if self
            .jobs
            .get(&job)
            .is_some_and(|held| held.outcome.is_some())
        {
            self.jobs.remove(&job);
        }
    }

    fn handle_attach(&mut self, waiter: Process, job: Job, ballot: &Ballot) -> Vec<Message> {
        let outcome = match self.jobs.get_mut(&job) {
            Some(held) if held.outcome.is_none() && held.owner.holds(ballot) => {
                held.waiters.push(waiter);
                return Vec::new();
            }
            Some(held) => held.outcome.clone(),
            None => None,
        };
        vec![message(&self.me, waiter, Body::FinalResult(job, outcome))]
    }

    fn handle_final_result(
        &mut self,
        job: Job,
        outcome: JobOutcome,
        oracle: &mut Oracle,
    ) -> Vec<Message> {
        let Some(held) = self
            .jobs
            .get_mut(&job)
            .filter(|held| held.outcome.is_none())
        else {
            return Vec::new();
        };
        let sent = held.finish(job, outcome, oracle);
        let to = |(to, body)| message(&self.me, to, body);
        sent.into_iter().map(to).collect()
    }
}

impl HeldJob {
    fn finish(
        &mut self,
        job: Job,
        outcome: JobOutcome,
        oracle: &mut Oracle,
    ) -> Vec<(Process, Body)> {
        let gathered = self.owner.ballot().round > Ballot::FRESH;
        oracle.gathered += usize::from(gathered && matches!(outcome, JobOutcome::Complete(_)));
        for submission in self.submissions.drain(..) {
            oracle.answer(submission, job, self.digest, &outcome);
        }
        self.outcome = Some(outcome.clone());
        let result = |waiter| (waiter, Body::FinalResult(job, Some(outcome.clone())));
        self.waiters.drain(..).map(result).collect()
    }
}

fn message(from: &Process, to: Process, body: Body) -> Message {
    Message {
        from: from.clone(),
        to,
        body,
    }
}
