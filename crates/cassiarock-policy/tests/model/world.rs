//! Entries and agents around the decisions.

use super::entry::Entry;
use super::load::Job;
use cassiarock_id::{Process, Wall};
use cassiarock_policy::dispatch::{self, Answer};
use cassiarock_policy::load::{LoadReport, SlotDemand};
use cassiarock_policy::place::{self, PlacedTask, TaskKey};
use cassiarock_policy::slot::{self, SlotScheduler, Verdict};
use cassiarock_policy::{Objective, PlacementPolicy};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// The shape of the pool and its policy.
#[derive(Clone, Debug)]
pub struct Shape {
    pub entries: usize,
    pub agents: usize,
    pub slots: u16,
    pub delay: Duration,
    pub dispatch: dispatch::Settings,
    pub slot: slot::Settings,
    pub seed: u64,
}

impl Shape {
    pub fn new(kind: PlacementPolicy, delay: Duration) -> Self {
        Self {
            entries: 3,
            agents: 11,
            slots: 8,
            delay,
            dispatch: dispatch::Settings::new(kind, Objective::default()),
            slot: slot::Settings::new(8),
            seed: 1,
        }
    }

    pub fn with_objective(mut self, weight: Objective) -> Self {
        self.dispatch.place = self.dispatch.place.with_objective(weight);
        self.slot = self.slot.with_objective(weight);
        self
    }
}

/// Messages and ends counted.
#[derive(Clone, Debug, Default)]
pub struct Count {
    pub starts: u64,
    pub rejects: u64,
    pub demands: u64,
    pub returns: u64,
    pub grants: u64,
    pub cancels: u64,
    pub done: u64,
    pub failed: u64,
    /// Tasks that ran although nobody waited for them any more when they began.
    pub vain: u64,
}

impl Count {
    /// Messages beyond one start and one outcome per task. A batch counts each task.
    pub fn wasted(&self) -> u64 {
        2 * self.rejects + self.demands + self.returns + self.grants + self.cancels
    }
}

/// What an upstream does wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Runs this many times slower.
    Slow(f64),
    /// Fails each task at once.
    Hole,
}

/// How a job ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Open,
    /// Complete after this time.
    Done(Duration),
    /// Refused, not run.
    Refused,
    Failed,
    /// Its caller went away.
    Cancelled,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Start(usize, usize, Vec<PlacedTask>, SlotDemand),
    Demand(usize, usize, SlotDemand),
    Drop(usize, cassiarock_id::Job),
    Outcome(usize, usize, TaskKey, LoadReport, Option<Duration>),
    Reject(usize, usize, TaskKey, LoadReport),
    Grant(usize, usize, LoadReport),
    End(usize, TaskKey, Option<Duration>),
    WakeEntry(usize),
    WakeAgent(usize),
    Tick,
    Deadline(usize),
    Cancel(usize),
    Retry(usize, TaskKey),
    Fault(usize, Fault),
    Outage(bool),
}

/// Entries look at their upstreams and jobs this often.
const TICK: Duration = Duration::from_millis(100);

#[derive(Debug)]
pub struct World<'a> {
    shape: Shape,
    jobs: &'a [Job],
    entries: Vec<Entry>,
    agents: Vec<(Process, SlotScheduler)>,
    index: HashMap<Process, usize>,
    events: BTreeMap<(Duration, u64), Event>,
    next: u64,
    left: Vec<usize>,
    placed: HashMap<usize, HashSet<usize>>,
    wakes: Vec<Duration>,
    faults: Vec<Fault>,
    is_out: bool,
    now: Duration,
    pub ends: Vec<End>,
    pub count: Count,
}

impl<'a> World<'a> {
    pub fn new(shape: Shape, jobs: &'a [Job]) -> Self {
        let agents: Vec<_> = (0..shape.agents)
            .map(|i| {
                (
                    Process::new(format!("agent-{i}"), 1),
                    SlotScheduler::new(shape.slot),
                )
            })
            .collect();
        let names: Vec<Process> = agents.iter().map(|(name, _)| name.clone()).collect();
        let entries: Vec<_> = (0..shape.entries)
            .map(|i| Entry::new(i, &shape, &names))
            .collect();
        let entry_names = entries.iter().map(|entry| entry.name.clone()).enumerate();
        let index = names.into_iter().enumerate().chain(entry_names);
        let mut world = Self {
            jobs,
            index: index.map(|(i, process)| (process, i)).collect(),
            entries,
            agents,
            events: BTreeMap::new(),
            next: 0,
            left: jobs.iter().map(|job| job.runs.len()).collect(),
            placed: HashMap::new(),
            wakes: vec![Duration::ZERO; shape.entries + shape.agents],
            faults: vec![Fault::None; shape.agents],
            is_out: false,
            now: Duration::ZERO,
            ends: vec![End::Open; jobs.len()],
            count: Count::default(),
            shape,
        };
        for (i, job) in jobs.iter().enumerate() {
            world.at(job.at, Event::Arrive(i));
            world.at(job.at + job.within, Event::Deadline(i));
        }
        world.at(TICK, Event::Tick);
        world
    }

    /// Cancels every second job some time after it arrived.
    pub fn with_half_cancelled(mut self, after: Duration) -> Self {
        for index in (0..self.jobs.len()).step_by(2) {
            self.at(self.jobs[index].at + after, Event::Cancel(index));
        }
        self
    }

    pub fn with_fault(mut self, at: Duration, agent: usize, fault: Fault) -> Self {
        self.at(at, Event::Fault(agent, fault));
        self
    }

    pub fn with_outage(mut self, from: Duration, until: Duration) -> Self {
        self.at(from, Event::Outage(true));
        self.at(until, Event::Outage(false));
        self
    }

    pub fn with_cancel(mut self, at: Duration, job: usize) -> Self {
        self.at(at, Event::Cancel(job));
        self
    }

    /// Runs until all jobs have ended, or at the latest until `until`.
    pub fn run(&mut self, until: Duration) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > until {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    pub fn responses(&self) -> Vec<Option<Duration>> {
        let done = self.ends.iter().map(|end| match end {
            End::Done(response) => Some(*response),
            _ => None,
        });
        done.collect()
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn send(&mut self, event: Event) {
        self.at(self.now + self.shape.delay, event);
    }

    /// Keeps one wake-up per process.
    fn wake(&mut self, at: Duration, slot: usize, event: Event) {
        let pending = self.wakes[slot];
        if pending > self.now && pending <= at {
            return;
        }
        self.wakes[slot] = at;
        self.at(at, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(job),
            Event::Start(agent, entry, tasks, ask) => self.start(agent, entry, &tasks, &ask),
            Event::Demand(agent, entry, ask) => self.demand(agent, entry, &ask),
            Event::Drop(agent, job) => {
                let dropped = self.agents[agent].1.cancel_job(job);
                self.count.starts -= dropped.len() as u64;
            }
            Event::Outcome(entry, agent, key, load, ran) => {
                self.outcome(entry, agent, &key, load, ran);
            }
            Event::Reject(entry, agent, key, load) => {
                let name = &self.agents[agent].0;
                let dispatcher = &mut self.entries[entry].dispatcher;
                dispatcher.requeue(name, &key, false, load, self.now);
                self.poll_entry(entry);
            }
            Event::Grant(entry, agent, load) => {
                let name = &self.agents[agent].0;
                self.entries[entry].dispatcher.grant(name, load, self.now);
                self.poll_entry(entry);
            }
            Event::End(agent, key, ran) => self.end(agent, &key, ran),
            Event::WakeEntry(entry) => self.poll_entry(entry),
            Event::WakeAgent(agent) => self.poll_agent(agent),
            Event::Tick => self.tick(),
            Event::Deadline(job) => self.abandon(job, End::Failed),
            Event::Cancel(job) => self.abandon(job, End::Cancelled),
            Event::Retry(entry, key) => {
                if self.ends[index(key.job)] == End::Open {
                    let dispatcher = &mut self.entries[entry].dispatcher;
                    dispatcher.release(key.job, vec![key.task], None, self.now);
                    self.poll_entry(entry);
                }
            }
            Event::Fault(agent, fault) => self.faults[agent] = fault,
            Event::Outage(is_out) => self.outage(is_out),
        }
    }

    fn arrive(&mut self, job: usize) {
        let entry = self.jobs[job].entry;
        let answer = self.entries[entry].arrive(job, &self.jobs[job], self.now);
        if matches!(answer, Answer::Refuse { .. }) {
            self.ends[job] = End::Refused;
        }
        self.poll_entry(entry);
    }

    fn start(&mut self, agent: usize, entry: usize, tasks: &[PlacedTask], ask: &SlotDemand) {
        if self.is_out {
            return;
        }
        let name = self.entries[entry].name.clone();
        let verdicts = self.agents[agent].1.start(&name, tasks, ask, self.now);
        for (task, verdict) in tasks.iter().zip(verdicts) {
            match verdict {
                Verdict::Run => self.begin(agent, task.key),
                Verdict::Queued => {}
                Verdict::Full => {
                    self.count.rejects += 1;
                    let load = self.agents[agent].1.load_report(&name, self.now);
                    self.send(Event::Reject(entry, agent, task.key, load));
                }
            }
        }
        self.poll_agent(agent);
    }

    fn demand(&mut self, agent: usize, entry: usize, ask: &SlotDemand) {
        let name = self.entries[entry].name.clone();
        self.agents[agent].1.set_demand(&name, ask, self.now);
        self.poll_agent(agent);
    }

    fn begin(&mut self, agent: usize, key: TaskKey) {
        let job = &self.jobs[index(key.job)];
        // The start message is void after the caller's deadline.
        if self.now >= job.at + job.within {
            self.at(self.now, Event::End(agent, key, None));
            return;
        }
        if self.ends[index(key.job)] != End::Open {
            self.count.vain += 1;
        }
        let run = job.runs[key.task.index()];
        let (run, ran) = match self.faults[agent] {
            Fault::None => (run, Some(run)),
            Fault::Slow(times) => (run.mul_f64(times), Some(run.mul_f64(times))),
            Fault::Hole => (Duration::from_millis(1), None),
        };
        self.at(self.now + run, Event::End(agent, key, ran));
    }

    fn end(&mut self, agent: usize, key: &TaskKey, ran: Option<Duration>) {
        let finish = self.agents[agent].1.finish(key, self.now);
        if let Some((_, next)) = finish.next {
            self.begin(agent, next);
        }
        if !self.is_out {
            let entry = self.jobs[index(key.job)].entry;
            self.send(Event::Outcome(entry, agent, *key, finish.load, ran));
        }
        self.poll_agent(agent);
    }

    fn outcome(
        &mut self,
        entry: usize,
        agent: usize,
        key: &TaskKey,
        load: LoadReport,
        ran: Option<Duration>,
    ) {
        let job = index(key.job);
        let name = self.agents[agent].0.clone();
        let retry = self.entries[entry].end(&name, key, load, ran, self.now);
        let is_open = self.ends[job] == End::Open;
        if ran.is_some() {
            self.count.done += 1;
            self.left[job] -= 1;
        } else {
            self.count.failed += 1;
        }
        match (ran, retry) {
            (Some(_), _) if self.left[job] == 0 && is_open => {
                self.ends[job] = End::Done(self.now - self.jobs[job].at);
                self.entries[entry].dispatcher.finish(key.job);
            }
            (None, Some(wait)) if is_open => {
                self.at(self.now + wait, Event::Retry(entry, *key));
            }
            (None, None) if is_open => self.abandon(job, End::Failed),
            _ => {}
        }
        self.poll_entry(entry);
    }

    /// The job's caller no longer waits: its entry drops it everywhere.
    fn abandon(&mut self, job: usize, end: End) {
        if self.ends[job] != End::Open {
            return;
        }
        self.ends[job] = end;
        let entry = self.jobs[job].entry;
        self.entries[entry].dispatcher.finish(id(job));
        for agent in self.placed.remove(&job).unwrap_or_default() {
            self.count.cancels += 1;
            self.send(Event::Drop(agent, id(job)));
        }
        self.poll_entry(entry);
    }

    fn outage(&mut self, is_out: bool) {
        self.is_out = is_out;
        for entry in 0..self.entries.len() {
            for agent in 0..self.agents.len() {
                let name = self.agents[agent].0.clone();
                if is_out {
                    let entry_name = self.entries[entry].name.clone();
                    self.agents[agent].1.disconnect(&entry_name);
                    self.lose(entry, &name);
                } else {
                    self.entries[entry].add(&name, self.shape.slots);
                }
            }
            self.poll_entry(entry);
        }
    }

    fn lose(&mut self, entry: usize, agent: &Process) {
        for key in self.entries[entry].dispatcher.disconnect(agent) {
            self.abandon(index(key.job), End::Failed);
        }
    }

    fn tick(&mut self) {
        for entry in 0..self.entries.len() {
            for job in self.entries[entry].dispatcher.infeasible_jobs(self.now) {
                self.abandon(index(job), End::Failed);
            }
            let news = self.entries[entry].dispatcher.usage_updates();
            let name = self.entries[entry].name.clone();
            for other in (0..self.entries.len()).filter(|other| *other != entry) {
                self.entries[other]
                    .dispatcher
                    .apply_usage(&name, &news, self.now);
            }
            self.poll_entry(entry);
        }
        if self.ends.contains(&End::Open) {
            self.at(self.now + TICK, Event::Tick);
        }
    }

    fn poll_entry(&mut self, entry: usize) {
        for action in self.entries[entry].dispatcher.poll(self.now) {
            match action {
                place::Action::Start { agent, tasks, ask } => {
                    self.count.starts += tasks.len() as u64;
                    let agent = self.index[&agent];
                    for task in &tasks {
                        let placed = self.placed.entry(index(task.key.job));
                        placed.or_default().insert(agent);
                    }
                    self.send(Event::Start(agent, entry, tasks, ask));
                }
                place::Action::Demand { agent, ask } => {
                    if ask.returned > 0 {
                        self.count.returns += 1;
                    } else {
                        self.count.demands += 1;
                    }
                    let agent = self.index[&agent];
                    self.send(Event::Demand(agent, entry, ask));
                }
            }
        }
        if let Some(wake) = self.entries[entry].dispatcher.next_poll() {
            let wake = wake.max(self.now + Duration::from_millis(1));
            self.wake(wake, entry, Event::WakeEntry(entry));
        }
    }

    fn poll_agent(&mut self, agent: usize) {
        for action in self.agents[agent].1.poll(self.now) {
            match action {
                slot::Action::Run { key, .. } => self.begin(agent, key),
                slot::Action::Grant { entry, load } => {
                    self.count.grants += 1;
                    let entry = self.index[&entry];
                    self.send(Event::Grant(entry, agent, load));
                }
            }
        }
        if let Some(wake) = self.agents[agent].1.next_poll() {
            let wake = wake.max(self.now + Duration::from_micros(100));
            let slot = self.shape.entries + agent;
            self.wake(wake, slot, Event::WakeAgent(agent));
        }
    }
}

/// The id of the job with this index.
pub fn id(index: usize) -> cassiarock_id::Job {
    cassiarock_id::Job::with_bits(Wall::from_millis(1), index as u64)
}

fn index(job: cassiarock_id::Job) -> usize {
    let bytes = job.as_bytes();
    usize::from(bytes[14]) << 8 | usize::from(bytes[15])
}
