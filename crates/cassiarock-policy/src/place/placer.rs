//! The placement of an entry's waiting tasks.

use super::demand::Demands;
use super::job::{PlacedTask, ReadyTasks, TaskKey};
use super::queue::Queue;
use super::settings::Settings;
use super::table::UpstreamTable;
use super::upstream::Upstream;
use super::view::FULL_WEIGHT;
use crate::load::{LoadReport, SlotDemand};
use crate::{Due, PlacementPolicy};
use cassiarock_id::{Job, Process, Task};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How many jobs from the front of the queue are tried when the first one must avoid the
/// upstreams that have room.
const MAX_JOBS_TRIED: usize = 4;

/// Random draws per poll in search of an upstream whose load report is stale.
const STALE_DRAWS: usize = 4;

/// What the entry has to send.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A start frame with one or more tasks.
    Start {
        /// The agent to send it to.
        agent: Process,
        /// The tasks to start there.
        tasks: Vec<PlacedTask>,
        /// The entry's demand, carried on the same frame.
        ask: SlotDemand,
    },
    /// A frame without tasks: a demand for slots, or returned credits.
    Demand {
        /// The agent to send it to.
        agent: Process,
        /// The demand, or the number of credits returned.
        ask: SlotDemand,
    },
}

/// A task that was sent to an upstream and whose end is not known.
#[derive(Clone, Debug)]
struct Placement {
    upstream: u32,
    due: Due,
    avoid: Option<Process>,
}

/// The waiting tasks of one entry and its view of the upstreams.
///
/// Several entries decide at the same time, with load reports that are between a round
/// trip and some hundred milliseconds old. Each picks the better of two random upstreams
/// that seem to have room, so that they do not all choose the one that last looked free.
/// An agent that is full rejects the task, and its reject carries a new report. Tasks for
/// which no slot is known wait here rather than at an upstream, because it is not known in
/// advance which slot frees first.
///
/// ```
/// use cassiarock_id::{Job, Process, Task, Wall};
/// use cassiarock_policy::place::{self, Action, Placer, Settings, Upstream};
/// use cassiarock_policy::{Due, PlacementPolicy};
/// use std::time::Duration;
/// let mut placer = Placer::new(Settings::new(PlacementPolicy::Credits), 1);
/// placer.add(Upstream::new(Process::new("agent-1", 1), 8));
/// let id = Job::with_bits(Wall::from_millis(1), 1);
/// let due = Due::new(Duration::ZERO, Duration::ZERO);
/// placer.enqueue(place::ReadyTasks::new(id, due, vec![Task(0)]));
/// let actions = placer.poll(Duration::ZERO);
/// assert!(matches!(&actions[..], [Action::Start { tasks, .. }] if tasks.len() == 1));
/// ```
#[derive(Debug)]
pub struct Placer {
    table: UpstreamTable,
    queue: Queue,
    placements: HashMap<TaskKey, Placement>,
    demands: Demands,
    polled_at: Duration,
}

impl Placer {
    /// A placer without upstreams. Each entry must use another seed.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            table: UpstreamTable::new(settings, seed),
            queue: Queue::default(),
            placements: HashMap::new(),
            demands: Demands::default(),
            polled_at: Duration::ZERO,
        }
    }

    /// Adds an upstream that announced itself or reconnected.
    pub fn add(&mut self, upstream: Upstream) {
        self.table.add(upstream);
    }

    /// Marks an upstream as leaving: it gets no further task.
    pub fn start_leaving(&mut self, agent: &Process) {
        if let Some(index) = self.table.index(agent) {
            self.table.change(index, |view| view.leaving = true);
        }
    }

    /// Marks an upstream as staying again. Returns its slots if it is known.
    pub fn cancel_leaving(&mut self, agent: &Process) -> Option<u16> {
        let index = self.table.index(agent)?;
        self.table.change(index, |view| {
            view.leaving = false;
            view.upstream.slots
        })
    }

    /// The share of the upstreams' slots that is in use, in percent, by their last load
    /// reports. Takes time linear in the number of upstreams.
    #[must_use]
    pub fn load_percent(&self) -> u32 {
        let (slots, open) = self.table.count_slots();
        let used = slots.saturating_sub(open);
        u32::try_from(used * 100 / slots.max(1)).unwrap_or(100)
    }

    /// Removes an upstream that is gone or disconnected. Returns the tasks that may have
    /// started there; the placer no longer tracks them.
    pub fn disconnect(&mut self, agent: &Process) -> Vec<TaskKey> {
        let Some(index) = self.table.index(agent) else {
            return Vec::new();
        };
        self.table.remove(agent);
        let mut lost: Vec<TaskKey> = self
            .placements
            .iter()
            .filter(|(_, placement)| placement.upstream == index)
            .map(|(key, _)| *key)
            .collect();
        lost.sort();
        for key in &lost {
            self.placements.remove(key);
        }
        lost
    }

    /// Limits an upstream to `share` of its slots, 0 to 1; 0 stops new tasks.
    pub fn set_share(&mut self, agent: &Process, share: f64) {
        let weight = (share.clamp(0.0, 1.0) * f64::from(FULL_WEIGHT)).ceil();
        if let Some(index) = self.table.index(agent) {
            self.table.change(index, |view| view.weight = weight as u16);
        }
    }

    /// Adds tasks to the queue.
    pub fn enqueue(&mut self, job: ReadyTasks) {
        self.queue.push(job);
    }

    /// Ends the placement of a task that ended or whose reject is final. `load` is the
    /// report on the frame; an outcome that is sent once more carries none.
    pub fn end(&mut self, agent: &Process, key: &TaskKey, load: Option<LoadReport>, now: Duration) {
        self.end_placement(key);
        if let Some(load) = load {
            self.grant(agent, load, now);
        }
    }

    /// Takes back a task of a start action that was not sent because the job's claim
    /// forbids the agent. If `wanted`, the task waits again, for another agent.
    pub fn undo_start(&mut self, agent: &Process, key: &TaskKey, wanted: bool) {
        let Some(placement) = self.end_placement(key) else {
            return;
        };
        self.table.change(placement.upstream, |view| {
            view.sent = view.sent.wrapping_sub(1);
        });
        if wanted {
            let job = ReadyTasks::new(key.job, placement.due, vec![key.task]);
            self.queue.push(job.with_avoid(agent.clone()));
        }
    }

    /// Queues a task again that an agent has proved not to have started and never to
    /// start. With `elsewhere`, it must not be sent to that agent again.
    pub fn requeue(
        &mut self,
        agent: &Process,
        key: &TaskKey,
        elsewhere: bool,
        load: LoadReport,
        now: Duration,
    ) {
        self.grant(agent, load, now);
        let Some(placement) = self.end_placement(key) else {
            return;
        };
        let mut job = ReadyTasks::new(key.job, placement.due, vec![key.task]);
        job.avoid = if elsewhere {
            Some(agent.clone())
        } else {
            placement.avoid
        };
        self.queue.push(job);
    }

    /// Takes in a load report and its credits, from a grant or another frame.
    pub fn grant(&mut self, agent: &Process, load: LoadReport, now: Duration) {
        let Some(index) = self.table.apply_report(agent, load, now) else {
            return;
        };
        self.demands
            .record_credits(&mut self.table, index, load.credit);
    }

    /// Removes a cancelled job from the queue and returns its tasks that were not sent;
    /// those already sent have to be cancelled at their agents.
    pub fn cancel(&mut self, job: Job) -> Vec<Task> {
        self.queue.remove(job)
    }

    /// Returns what to send now. Call after every event, or after a batch of events, and at
    /// [`Self::next_poll`].
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        self.polled_at = now;
        self.table.expire_credits(now);
        let starts = self.match_tasks(now);
        let mut actions = Vec::new();
        for (index, tasks) in starts {
            let ask = self
                .demands
                .demand_with_start(&mut self.table, &self.queue, index, now);
            if let Some(view) = self.table.get(index) {
                let agent = view.upstream.agent.clone();
                actions.push(Action::Start { agent, tasks, ask });
            }
        }
        if self.table.settings.tries_stale() {
            self.probe_stale(now, &mut actions);
        }
        if !self.table.settings.policy.queues_at_upstream() {
            self.send_demands(now, &mut actions);
        }
        actions.extend(self.demands.return_credits(&mut self.table, &self.queue));
        actions
    }

    /// When to call [`Self::poll`] at the latest if no event comes before; `None` if no
    /// task waits.
    #[must_use]
    pub fn next_poll(&self) -> Option<Duration> {
        if self.queue.len() == 0 {
            return None;
        }
        Some(
            self.demands
                .next_round(&self.table.settings)
                .min(self.polled_at + self.table.settings.load_max_age),
        )
    }

    /// How many tasks wait in the queue.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// How many tasks were sent to upstreams and have not ended.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.placements.len()
    }

    fn match_tasks(&mut self, now: Duration) -> BTreeMap<u32, Vec<PlacedTask>> {
        let mut starts: BTreeMap<u32, Vec<PlacedTask>> = BTreeMap::new();
        while let Some((index, job)) = self.next_match() {
            if let Some(task) = self.start_task(index, job, now) {
                starts.entry(index).or_default().push(task);
            }
        }
        starts
    }

    /// The next upstream that can take a task, and the job to take it from.
    fn next_match(&mut self) -> Option<(u32, Job)> {
        for (job, due, avoid) in self.queue.front(MAX_JOBS_TRIED) {
            let avoid = avoid.and_then(|agent| self.table.index(agent));
            let found = self.table.pick_available(avoid);
            let waits_for_grant = self.table.settings.demands_per_task > 0
                && self.queue.waiting_in(job) <= self.table.settings.small_job_tasks;
            let found = found.or_else(|| {
                if waits_for_grant {
                    return None;
                }
                self.table.pick_for_prefetch(due, avoid)
            });
            if let Some(index) = found {
                return Some((index, job));
            }
        }
        None
    }

    fn start_task(&mut self, index: u32, job: Job, now: Duration) -> Option<PlacedTask> {
        let (key, due, avoid) = self.queue.pop(job)?;
        let may_wait = self.may_wait(index, job);
        self.table.change(index, |view| view.record_start(due, now));
        let placement = Placement {
            upstream: index,
            due,
            avoid,
        };
        self.placements.insert(key, placement);
        Some(PlacedTask {
            key,
            lateness: due.lateness(now),
            may_wait,
        })
    }

    /// Whether a task that is being sent may wait at the upstream if no slot is free.
    fn may_wait(&self, index: u32, job: Job) -> bool {
        let settings = &self.table.settings;
        if settings.policy != PlacementPolicy::Credits {
            return settings.policy.queues_at_upstream();
        }
        let seems_open = self
            .table
            .get(index)
            .is_some_and(|view| view.open_slots() > 0);
        let is_few = self.queue.waiting_in(job) < settings.small_job_tasks;
        settings.prefetch > 0 && !(seems_open && is_few && settings.demands_per_task > 0)
    }

    fn end_placement(&mut self, key: &TaskKey) -> Option<Placement> {
        let placement = self.placements.remove(key)?;
        self.table
            .change(placement.upstream, |view| view.record_end(placement.due));
        Some(placement)
    }

    /// Sends tasks to upstreams with a stale load report if none seems to have room: an
    /// entry without tasks at an upstream would otherwise never hear that it has become
    /// free.
    fn probe_stale(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for _ in 0..STALE_DRAWS {
            let Some(index) = self.table.draw_usable() else {
                return;
            };
            let Some(task) = self.start_on_stale(index, now) else {
                continue;
            };
            let ask = self
                .demands
                .demand_with_start(&mut self.table, &self.queue, index, now);
            if let Some(view) = self.table.get(index) {
                let agent = view.upstream.agent.clone();
                let tasks = vec![task];
                actions.push(Action::Start { agent, tasks, ask });
            }
        }
    }

    fn start_on_stale(&mut self, index: u32, now: Duration) -> Option<PlacedTask> {
        let view = self.table.get(index)?;
        if !view.is_stale(now, self.table.settings.load_max_age) {
            return None;
        }
        let (job, _, avoid) = self.queue.front(1).next()?;
        if avoid == Some(&view.upstream.agent) {
            return None;
        }
        self.start_task(index, job, now)
    }

    /// Demands slots for the tasks that found none.
    fn send_demands(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while let Some(index) = self
            .demands
            .next_upstream(&mut self.table, &self.queue, now)
        {
            let ask = self
                .demands
                .demand_for(&mut self.table, &self.queue, index, now);
            if let Some(view) = self.table.get(index) {
                let agent = view.upstream.agent.clone();
                actions.push(Action::Demand { agent, ask });
            }
        }
    }
}
