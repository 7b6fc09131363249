//! The placement of an entry's waiting tasks.

use super::demand::Book;
use super::job::{PlacedTask, ReadyTasks, TaskKey};
use super::pool::Pool;
use super::queue::Queue;
use super::settings::Settings;
use super::upstream::Upstream;
use super::view::FULL_WEIGHT;
use crate::load::{LoadReport, SlotDemand};
use crate::{Due, PlacementPolicy};
use cassiarock_id::{Job, Process, Task};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How many jobs from the front of the queue are tried when the first cannot use the
/// upstreams that have room, because it must avoid them.
const LOOK_PAST: usize = 4;

/// How many upstreams are drawn per poll in search of one with stale news.
const TRIALS: usize = 4;

/// What the entry has to send.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A start frame with one or more tasks.
    Start {
        /// To whom.
        agent: Process,
        /// The tasks.
        tasks: Vec<PlacedTask>,
        /// To be carried on the frame.
        ask: SlotDemand,
    },
    /// A frame without tasks: a demand for slots, or credits handed back.
    Demand {
        /// To whom.
        agent: Process,
        /// What it says.
        ask: SlotDemand,
    },
}

/// A task on its way to an upstream or running there.
#[derive(Clone, Debug)]
struct Flight {
    upstream: u32,
    due: Due,
    avoid: Option<Process>,
}

/// The waiting tasks of one entry and its view of the upstreams.
///
/// Made for several entries that decide at once with views that are a round trip to
/// some hundred milliseconds old. Two random draws among the upstreams that are believed
/// to have room keep the entries from all choosing the one that last looked free; an
/// agent that is full after all rejects, and its reject brings the news. Tasks for which
/// no slot is known wait here, not at an upstream, because whichever slot frees first is
/// not known in advance.
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
    pool: Pool,
    queue: Queue,
    flights: HashMap<TaskKey, Flight>,
    book: Book,
    polled_at: Duration,
}

impl Placer {
    /// A placer that knows no upstream. Entries use different seeds.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            pool: Pool::new(settings, seed),
            queue: Queue::default(),
            flights: HashMap::new(),
            book: Book::default(),
            polled_at: Duration::ZERO,
        }
    }

    /// An upstream announced itself, or its connection works again.
    pub fn add(&mut self, upstream: Upstream) {
        self.pool.add(upstream);
    }

    /// An upstream is leaving: it gets no further task.
    pub fn start_leaving(&mut self, agent: &Process) {
        if let Some(index) = self.pool.index(agent) {
            self.pool.change(index, |view| view.leaving = true);
        }
    }

    /// A leaving upstream stays after all; its slots, if it is known.
    pub fn cancel_leaving(&mut self, agent: &Process) -> Option<u16> {
        let index = self.pool.index(agent)?;
        self.pool.change(index, |view| {
            view.leaving = false;
            view.upstream.slots
        })
    }

    /// The share of the upstreams' slots that is in use, in percent, by the loads last
    /// heard. A pass over all upstreams.
    #[must_use]
    pub fn load_percent(&self) -> u32 {
        let (slots, open) = self.pool.count_slots();
        let used = slots.saturating_sub(open);
        u32::try_from(used * 100 / slots.max(1)).unwrap_or(100)
    }

    /// An upstream or the connection to it is gone. Returns the tasks that may have
    /// started there; they are no longer the placer's.
    pub fn disconnect(&mut self, agent: &Process) -> Vec<TaskKey> {
        let Some(index) = self.pool.index(agent) else {
            return Vec::new();
        };
        self.pool.remove(agent);
        let mut lost: Vec<TaskKey> = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.upstream == index)
            .map(|(key, _)| *key)
            .collect();
        lost.sort();
        for key in &lost {
            self.flights.remove(key);
        }
        lost
    }

    /// Lets an upstream have only `share` of its slots, 0 to 1, see
    /// [`crate::place`]; 0 stops new tasks.
    pub fn set_share(&mut self, agent: &Process, share: f64) {
        let weight = (share.clamp(0.0, 1.0) * f64::from(FULL_WEIGHT)).ceil();
        if let Some(index) = self.pool.index(agent) {
            self.pool.change(index, |view| view.weight = weight as u16);
        }
    }

    /// Tasks may be started.
    pub fn enqueue(&mut self, job: ReadyTasks) {
        self.queue.push(job);
    }

    /// A task ended, or its reject is final. `load` came with the frame, if any did: an
    /// outcome told once more says nothing of the slots.
    pub fn end(&mut self, agent: &Process, key: &TaskKey, load: Option<LoadReport>, now: Duration) {
        self.land(key);
        if let Some(load) = load {
            self.grant(agent, load, now);
        }
    }

    /// A task of a start action was not sent after all: the claim forbids this agent. It
    /// waits again, if `wanted`, for another one.
    pub fn undo_start(&mut self, agent: &Process, key: &TaskKey, wanted: bool) {
        let Some(flight) = self.land(key) else {
            return;
        };
        self.pool.change(flight.upstream, |view| {
            view.sent = view.sent.wrapping_sub(1);
        });
        if wanted {
            let job = ReadyTasks::new(key.job, flight.due, vec![key.task]);
            self.queue.push(job.with_avoid(agent.clone()));
        }
    }

    /// An agent proved that it has not started the task and will not: the task waits
    /// again. `elsewhere` says that the agent must not be asked again for this job.
    pub fn requeue(
        &mut self,
        agent: &Process,
        key: &TaskKey,
        elsewhere: bool,
        load: LoadReport,
        now: Duration,
    ) {
        self.grant(agent, load, now);
        let Some(flight) = self.land(key) else {
            return;
        };
        let mut job = ReadyTasks::new(key.job, flight.due, vec![key.task]);
        job.avoid = if elsewhere {
            Some(agent.clone())
        } else {
            flight.avoid
        };
        self.queue.push(job);
    }

    /// A grant frame came.
    pub fn grant(&mut self, agent: &Process, load: LoadReport, now: Duration) {
        let Some(index) = self.pool.hear(agent, load, now) else {
            return;
        };
        self.book.given(&mut self.pool, index, load.credit);
    }

    /// Nobody waits for the job any more. Returns its tasks that were never sent; those
    /// already sent have to be cancelled at their agents.
    pub fn cancel(&mut self, job: Job) -> Vec<Task> {
        self.queue.remove(job)
    }

    /// What to send now. Call after every event, or after a batch of them, and at
    /// [`Self::next_poll`].
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        self.polled_at = now;
        self.pool.expire_credits(now);
        let starts = self.place(now);
        let mut actions = Vec::new();
        for (index, tasks) in starts {
            let ask = self
                .book
                .ask_with_start(&mut self.pool, &self.queue, index, now);
            if let Some(view) = self.pool.get(index) {
                let agent = view.upstream.agent.clone();
                actions.push(Action::Start { agent, tasks, ask });
            }
        }
        if self.pool.settings.tries_stale() {
            self.probe_stale(now, &mut actions);
        }
        if !self.pool.settings.policy.queues_at_upstream() {
            self.seek(now, &mut actions);
        }
        actions.extend(self.book.give_back(&mut self.pool, &self.queue));
        actions
    }

    /// When [`Self::poll`] has to be called at the latest, if no event comes before.
    #[must_use]
    pub fn next_poll(&self) -> Option<Duration> {
        if self.queue.len() == 0 {
            return None;
        }
        Some(
            self.book
                .wake(&self.pool.settings)
                .min(self.polled_at + self.pool.settings.load_max_age),
        )
    }

    /// How many tasks wait here.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// How many tasks are at upstreams.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.flights.len()
    }

    fn place(&mut self, now: Duration) -> BTreeMap<u32, Vec<PlacedTask>> {
        let mut starts: BTreeMap<u32, Vec<PlacedTask>> = BTreeMap::new();
        while let Some((index, job)) = self.next_match() {
            if let Some(task) = self.send(index, job, now) {
                starts.entry(index).or_default().push(task);
            }
        }
        starts
    }

    fn next_match(&mut self) -> Option<(u32, Job)> {
        for (job, due, avoid) in self.queue.front(LOOK_PAST) {
            let avoid = avoid.and_then(|agent| self.pool.index(agent));
            let found = self.pool.pick(avoid);
            let seeks = self.pool.settings.demands_per_task > 0
                && self.queue.waiting_of(job) <= self.pool.settings.small_job_tasks;
            let found = found.or_else(|| {
                if seeks {
                    return None;
                }
                self.pool.pick_ahead(due, avoid)
            });
            if let Some(index) = found {
                return Some((index, job));
            }
        }
        None
    }

    fn send(&mut self, index: u32, job: Job, now: Duration) -> Option<PlacedTask> {
        let (key, due, avoid) = self.queue.pop(job)?;
        let may_wait = self.may_wait(index, job);
        self.pool.change(index, |view| view.start(due, now));
        let flight = Flight {
            upstream: index,
            due,
            avoid,
        };
        self.flights.insert(key, flight);
        Some(PlacedTask {
            key,
            lateness: due.lateness(now),
            may_wait,
        })
    }

    /// Whether a task that is being sent may wait at the upstream.
    fn may_wait(&self, index: u32, job: Job) -> bool {
        let settings = &self.pool.settings;
        if settings.policy != PlacementPolicy::Credits {
            return settings.policy.queues_at_upstream();
        }
        let believed_open = self.pool.get(index).is_some_and(|view| view.open() > 0);
        let is_few = self.queue.waiting_of(job) < settings.small_job_tasks;
        settings.prefetch > 0 && !(believed_open && is_few && settings.demands_per_task > 0)
    }

    fn land(&mut self, key: &TaskKey) -> Option<Flight> {
        let flight = self.flights.remove(key)?;
        self.pool
            .change(flight.upstream, |view| view.land(flight.due));
        Some(flight)
    }

    /// Sends a task to upstreams of which nothing was heard for long, if none has room by
    /// what is known: otherwise an entry without tasks there would never hear that one
    /// has become free.
    fn probe_stale(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for _ in 0..TRIALS {
            let Some(index) = self.pool.draw_usable() else {
                return;
            };
            let Some(task) = self.trial(index, now) else {
                continue;
            };
            let ask = self
                .book
                .ask_with_start(&mut self.pool, &self.queue, index, now);
            if let Some(view) = self.pool.get(index) {
                let agent = view.upstream.agent.clone();
                let tasks = vec![task];
                actions.push(Action::Start { agent, tasks, ask });
            }
        }
    }

    fn trial(&mut self, index: u32, now: Duration) -> Option<PlacedTask> {
        let view = self.pool.get(index)?;
        if !view.is_stale(now, self.pool.settings.load_max_age) {
            return None;
        }
        let (job, _, avoid) = self.queue.front(1).next()?;
        if avoid == Some(&view.upstream.agent) {
            return None;
        }
        self.send(index, job, now)
    }

    /// Asks for slots on behalf of the tasks that found none.
    fn seek(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while let Some(index) = self.book.next(&mut self.pool, &self.queue, now) {
            let ask = self.book.ask(&mut self.pool, &self.queue, index, now);
            if let Some(view) = self.pool.get(index) {
                let agent = view.upstream.agent.clone();
                actions.push(Action::Demand { agent, ask });
            }
        }
    }
}
