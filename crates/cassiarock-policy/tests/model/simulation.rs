//! Discrete-event simulation of entries and agents that exchange messages.

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

/// The size of the pool, the message delay and the settings of the policy.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    pub entries: usize,
    pub agents: usize,
    pub slots: u16,
    pub delay: Duration,
    pub dispatch: dispatch::Settings,
    pub slot: slot::Settings,
    pub seed: u64,
}

impl SimulationConfig {
    pub fn new(policy: PlacementPolicy, delay: Duration) -> Self {
        Self {
            entries: 3,
            agents: 11,
            slots: 8,
            delay,
            dispatch: dispatch::Settings::new(policy, Objective::default()),
            slot: slot::Settings::new(8),
            seed: 1,
        }
    }

    pub fn with_objective(mut self, objective: Objective) -> Self {
        self.dispatch.place = self.dispatch.place.with_objective(objective);
        self.slot = self.slot.with_objective(objective);
        self
    }
}

/// Counts of messages and of task outcomes.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub starts: u64,
    pub rejects: u64,
    pub demands: u64,
    pub returns: u64,
    pub grants: u64,
    pub cancels: u64,
    pub done: u64,
    pub failed: u64,
    /// Tasks that started to run after their job had ended for its caller.
    pub abandoned_runs: u64,
}

impl Counts {
    /// Messages beyond one start and one outcome per task. In a batch, each task counts.
    pub fn extra_messages(&self) -> u64 {
        2 * self.rejects + self.demands + self.returns + self.grants + self.cancels
    }
}

/// A fault of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Runs this many times slower.
    Slow(f64),
    /// Fails each task after 1 ms.
    BlackHole,
}

/// How a job ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobOutcome {
    Open,
    /// Completed after this time.
    Done(Duration),
    /// Refused at arrival; none of it ran.
    Refused,
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Start(usize, usize, Vec<PlacedTask>, SlotDemand),
    Demand(usize, usize, SlotDemand),
    CancelJob(usize, cassiarock_id::Job),
    Outcome(usize, usize, TaskKey, LoadReport, Option<Duration>),
    Reject(usize, usize, TaskKey, LoadReport),
    Grant(usize, usize, LoadReport),
    TaskEnd(usize, TaskKey, Option<Duration>),
    PollEntry(usize),
    PollAgent(usize),
    Tick,
    Deadline(usize),
    Cancel(usize),
    Retry(usize, TaskKey),
    Fault(usize, Fault),
    Outage(bool),
}

/// How often entries are polled, exchange usage and fail jobs that cannot meet their
/// deadlines.
const TICK: Duration = Duration::from_millis(100);

#[derive(Debug)]
pub struct Simulation<'a> {
    config: SimulationConfig,
    jobs: &'a [Job],
    entries: Vec<Entry>,
    agents: Vec<(Process, SlotScheduler)>,
    indices: HashMap<Process, usize>,
    events: BTreeMap<(Duration, u64), Event>,
    next_event: u64,
    remaining_tasks: Vec<usize>,
    /// The agents to which tasks of each job were sent.
    agents_of_job: HashMap<usize, HashSet<usize>>,
    /// The last scheduled poll of each entry, then of each agent.
    next_polls: Vec<Duration>,
    faults: Vec<Fault>,
    is_outage: bool,
    now: Duration,
    pub outcomes: Vec<JobOutcome>,
    pub counts: Counts,
}

impl<'a> Simulation<'a> {
    pub fn new(config: SimulationConfig, jobs: &'a [Job]) -> Self {
        let agents: Vec<_> = (0..config.agents)
            .map(|i| {
                (
                    Process::new(format!("agent-{i}"), 1),
                    SlotScheduler::new(config.slot),
                )
            })
            .collect();
        let names: Vec<Process> = agents.iter().map(|(name, _)| name.clone()).collect();
        let entries: Vec<_> = (0..config.entries)
            .map(|i| Entry::new(i, &config, &names))
            .collect();
        let entry_names = entries.iter().map(|entry| entry.name.clone()).enumerate();
        let index = names.into_iter().enumerate().chain(entry_names);
        let mut simulation = Self {
            jobs,
            indices: index.map(|(i, process)| (process, i)).collect(),
            entries,
            agents,
            events: BTreeMap::new(),
            next_event: 0,
            remaining_tasks: jobs.iter().map(|job| job.runs.len()).collect(),
            agents_of_job: HashMap::new(),
            next_polls: vec![Duration::ZERO; config.entries + config.agents],
            faults: vec![Fault::None; config.agents],
            is_outage: false,
            now: Duration::ZERO,
            outcomes: vec![JobOutcome::Open; jobs.len()],
            counts: Counts::default(),
            config,
        };
        for (i, job) in jobs.iter().enumerate() {
            simulation.schedule(job.at, Event::Arrive(i));
            simulation.schedule(job.at + job.within, Event::Deadline(i));
        }
        simulation.schedule(TICK, Event::Tick);
        simulation
    }

    /// Cancels every second job some time after it arrived.
    pub fn with_half_cancelled(mut self, after: Duration) -> Self {
        for index in (0..self.jobs.len()).step_by(2) {
            self.schedule(self.jobs[index].at + after, Event::Cancel(index));
        }
        self
    }

    pub fn with_fault(mut self, at: Duration, agent: usize, fault: Fault) -> Self {
        self.schedule(at, Event::Fault(agent, fault));
        self
    }

    pub fn with_outage(mut self, from: Duration, until: Duration) -> Self {
        self.schedule(from, Event::Outage(true));
        self.schedule(until, Event::Outage(false));
        self
    }

    pub fn with_cancel(mut self, at: Duration, job: usize) -> Self {
        self.schedule(at, Event::Cancel(job));
        self
    }

    /// Runs until no event is left, but no longer than until `until`.
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
        let done = self.outcomes.iter().map(|end| match end {
            JobOutcome::Done(response) => Some(*response),
            _ => None,
        });
        done.collect()
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn send(&mut self, event: Event) {
        self.schedule(self.now + self.config.delay, event);
    }

    /// Schedules a poll unless an earlier one is pending for the process.
    fn schedule_poll(&mut self, at: Duration, process: usize, event: Event) {
        let pending = self.next_polls[process];
        if pending > self.now && pending <= at {
            return;
        }
        self.next_polls[process] = at;
        self.schedule(at, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(job),
            Event::Start(agent, entry, tasks, ask) => self.start(agent, entry, &tasks, &ask),
            Event::Demand(agent, entry, ask) => self.demand(agent, entry, &ask),
            Event::CancelJob(agent, job) => {
                let dropped = self.agents[agent].1.cancel_job(job);
                self.counts.starts -= dropped.len() as u64;
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
            Event::TaskEnd(agent, key, ran) => self.end(agent, &key, ran),
            Event::PollEntry(entry) => self.poll_entry(entry),
            Event::PollAgent(agent) => self.poll_agent(agent),
            Event::Tick => self.tick(),
            Event::Deadline(job) => self.end_job(job, JobOutcome::Failed),
            Event::Cancel(job) => self.end_job(job, JobOutcome::Cancelled),
            Event::Retry(entry, key) => {
                if self.outcomes[index(key.job)] == JobOutcome::Open {
                    let dispatcher = &mut self.entries[entry].dispatcher;
                    dispatcher.release(key.job, vec![key.task], None, self.now);
                    self.poll_entry(entry);
                }
            }
            Event::Fault(agent, fault) => self.faults[agent] = fault,
            Event::Outage(is_outage) => self.outage(is_outage),
        }
    }

    fn arrive(&mut self, job: usize) {
        let entry = self.jobs[job].entry;
        let answer = self.entries[entry].arrive(job, &self.jobs[job], self.now);
        if matches!(answer, Answer::Refuse { .. }) {
            self.outcomes[job] = JobOutcome::Refused;
        }
        self.poll_entry(entry);
    }

    fn start(&mut self, agent: usize, entry: usize, tasks: &[PlacedTask], ask: &SlotDemand) {
        if self.is_outage {
            return;
        }
        let name = self.entries[entry].name.clone();
        let verdicts = self.agents[agent].1.start(&name, tasks, ask, self.now);
        for (task, verdict) in tasks.iter().zip(verdicts) {
            match verdict {
                Verdict::Run => self.run_task(agent, task.key),
                Verdict::Queued => {}
                Verdict::Full => {
                    self.counts.rejects += 1;
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

    fn run_task(&mut self, agent: usize, key: TaskKey) {
        let job = &self.jobs[index(key.job)];
        // A start message is ignored after the caller's deadline.
        if self.now >= job.at + job.within {
            self.schedule(self.now, Event::TaskEnd(agent, key, None));
            return;
        }
        if self.outcomes[index(key.job)] != JobOutcome::Open {
            self.counts.abandoned_runs += 1;
        }
        let run = job.runs[key.task.index()];
        let (run, ran) = match self.faults[agent] {
            Fault::None => (run, Some(run)),
            Fault::Slow(times) => (run.mul_f64(times), Some(run.mul_f64(times))),
            Fault::BlackHole => (Duration::from_millis(1), None),
        };
        self.schedule(self.now + run, Event::TaskEnd(agent, key, ran));
    }

    fn end(&mut self, agent: usize, key: &TaskKey, ran: Option<Duration>) {
        let finish = self.agents[agent].1.finish(key, self.now);
        if let Some((_, next)) = finish.next {
            self.run_task(agent, next);
        }
        if !self.is_outage {
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
        let is_open = self.outcomes[job] == JobOutcome::Open;
        if ran.is_some() {
            self.counts.done += 1;
            self.remaining_tasks[job] -= 1;
        } else {
            self.counts.failed += 1;
        }
        match (ran, retry) {
            (Some(_), _) if self.remaining_tasks[job] == 0 && is_open => {
                self.outcomes[job] = JobOutcome::Done(self.now - self.jobs[job].at);
                self.entries[entry].dispatcher.finish(key.job);
            }
            (None, Some(wait)) if is_open => {
                self.schedule(self.now + wait, Event::Retry(entry, *key));
            }
            (None, None) if is_open => self.end_job(job, JobOutcome::Failed),
            _ => {}
        }
        self.poll_entry(entry);
    }

    /// Ends a job that its caller no longer waits for, and cancels it at all agents.
    fn end_job(&mut self, job: usize, end: JobOutcome) {
        if self.outcomes[job] != JobOutcome::Open {
            return;
        }
        self.outcomes[job] = end;
        let entry = self.jobs[job].entry;
        self.entries[entry].dispatcher.finish(id(job));
        for agent in self.agents_of_job.remove(&job).unwrap_or_default() {
            self.counts.cancels += 1;
            self.send(Event::CancelJob(agent, id(job)));
        }
        self.poll_entry(entry);
    }

    fn outage(&mut self, is_outage: bool) {
        self.is_outage = is_outage;
        for entry in 0..self.entries.len() {
            for agent in 0..self.agents.len() {
                let name = self.agents[agent].0.clone();
                if is_outage {
                    let entry_name = self.entries[entry].name.clone();
                    self.agents[agent].1.disconnect(&entry_name);
                    self.lose(entry, &name);
                } else {
                    self.entries[entry].add(&name, self.config.slots);
                }
            }
            self.poll_entry(entry);
        }
    }

    fn lose(&mut self, entry: usize, agent: &Process) {
        for key in self.entries[entry].dispatcher.disconnect(agent) {
            self.end_job(index(key.job), JobOutcome::Failed);
        }
    }

    fn tick(&mut self) {
        for entry in 0..self.entries.len() {
            for job in self.entries[entry].dispatcher.infeasible_jobs(self.now) {
                self.end_job(index(job), JobOutcome::Failed);
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
        if self.outcomes.contains(&JobOutcome::Open) {
            self.schedule(self.now + TICK, Event::Tick);
        }
    }

    fn poll_entry(&mut self, entry: usize) {
        for action in self.entries[entry].dispatcher.poll(self.now) {
            match action {
                place::Action::Start { agent, tasks, ask } => {
                    self.counts.starts += tasks.len() as u64;
                    let agent = self.indices[&agent];
                    for task in &tasks {
                        let placed = self.agents_of_job.entry(index(task.key.job));
                        placed.or_default().insert(agent);
                    }
                    self.send(Event::Start(agent, entry, tasks, ask));
                }
                place::Action::Demand { agent, ask } => {
                    if ask.returned > 0 {
                        self.counts.returns += 1;
                    } else {
                        self.counts.demands += 1;
                    }
                    let agent = self.indices[&agent];
                    self.send(Event::Demand(agent, entry, ask));
                }
            }
        }
        if let Some(poll) = self.entries[entry].dispatcher.next_poll() {
            let poll = poll.max(self.now + Duration::from_millis(1));
            self.schedule_poll(poll, entry, Event::PollEntry(entry));
        }
    }

    fn poll_agent(&mut self, agent: usize) {
        for action in self.agents[agent].1.poll(self.now) {
            match action {
                slot::Action::Run { key, .. } => self.run_task(agent, key),
                slot::Action::Grant { entry, load } => {
                    self.counts.grants += 1;
                    let entry = self.indices[&entry];
                    self.send(Event::Grant(entry, agent, load));
                }
            }
        }
        if let Some(poll) = self.agents[agent].1.next_poll() {
            let poll = poll.max(self.now + Duration::from_micros(100));
            let process = self.config.entries + agent;
            self.schedule_poll(poll, process, Event::PollAgent(agent));
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
