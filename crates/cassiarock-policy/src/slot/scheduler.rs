//! The scheduler of one upstream's slots.

use super::Settings;
use super::demand::Demands;
use super::queue::Queue;
use crate::Due;
use crate::load::{LoadReport, SlotDemand};
use crate::place::{PlacedTask, TaskKey};
use cassiarock_id::{Job, Process};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// What happens to one task of a start frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Run it now.
    Run,
    /// It waits in the queue; [`Finish::next`] or [`SlotScheduler::poll`] runs it later.
    Queued,
    /// Reject it: there is no free slot, and it may not wait or the queue is full. The entry
    /// may send it to another upstream.
    Full,
}

/// The consequences of a task's end.
#[derive(Clone, Debug, PartialEq)]
pub struct Finish {
    /// The load report to send on the outcome frame.
    pub load: LoadReport,
    /// A queued task to run in the slot, with the entry that sent it.
    pub next: Option<(Process, TaskKey)>,
}

/// What the agent has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run a task from the queue.
    Run {
        /// The entry that sent it.
        entry: Process,
        /// Which task to run.
        key: TaskKey,
    },
    /// Send a grant frame.
    Grant {
        /// The entry to send it to.
        entry: Process,
        /// The load report with the credits, of which there is at least one.
        load: LoadReport,
    },
}

/// Assigns the slots of one upstream to the tasks of a few entries.
///
/// Suits an upstream that is full most of the time and entries with unequal load. A free
/// slot for which no entry waits is open: the first start takes it, and no other message is
/// needed. When entries wait, a slot goes to the work that is due first. If the outcome
/// frame goes to that entry, or to one whose work is due at most `slack` later, it carries
/// the slot as a credit, because a grant to any other entry costs a frame.
///
/// ```
/// use cassiarock_id::{Job, Process, Task, Wall};
/// use cassiarock_policy::load::SlotDemand;
/// use cassiarock_policy::place::{PlacedTask, TaskKey};
/// use cassiarock_policy::slot::{Settings, SlotScheduler, Verdict};
/// use std::time::Duration;
/// let entry = Process::new("entry-1", 1);
/// let key = TaskKey::new(Job::with_bits(Wall::from_millis(1), 1), Task(0));
/// let mut slots = SlotScheduler::new(Settings::new(8));
/// let now = Duration::ZERO;
/// assert_eq!(slots.start(&entry, &[PlacedTask::new(key, 0)], &SlotDemand::default(), now), [Verdict::Run]);
/// assert_eq!(slots.finish(&key, now).load.open, 8);
/// ```
#[derive(Debug)]
pub struct SlotScheduler {
    settings: Settings,
    running: HashMap<TaskKey, Process>,
    queue: Queue,
    demands: Demands,
    /// Since when a slot is open although an entry waits.
    idle_since: Option<Duration>,
}

impl SlotScheduler {
    /// A scheduler whose slots are all open.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            running: HashMap::new(),
            queue: Queue::default(),
            demands: Demands::default(),
            idle_since: None,
        }
    }

    /// Handles a start frame: returns one verdict per task, in order, and records the
    /// entry's demand. Call [`Self::poll`] afterwards.
    pub fn start(
        &mut self,
        entry: &Process,
        tasks: &[PlacedTask],
        demand: &SlotDemand,
        now: Duration,
    ) -> Vec<Verdict> {
        self.demands.expire(&self.settings, now);
        let verdicts = tasks
            .iter()
            .map(|task| self.start_task(entry, task, now))
            .collect();
        self.demands.set(entry, demand, now);
        verdicts
    }

    /// Counts tasks of a start frame that need no slot: repeated starts, and starts that the
    /// agent's ledger rejects.
    pub fn count_skipped(&mut self, entry: &Process, tasks: u32, now: Duration) {
        let demand = self.demands.get_or_insert(entry, now);
        demand.seen = demand.seen.wrapping_add(tasks);
    }

    /// Records the demand of a demand frame, or of a start frame without tasks.
    pub fn set_demand(&mut self, entry: &Process, demand: &SlotDemand, now: Duration) {
        self.demands.set(entry, demand, now);
    }

    /// Frees the slot of a running task that ended, with whatever outcome.
    pub fn finish(&mut self, key: &TaskKey, now: Duration) -> Finish {
        self.demands.expire(&self.settings, now);
        let entry = self.running.remove(key);
        let next = self.start_queued();
        let Some(entry) = entry else {
            let load = LoadReport::default();
            return Finish { load, next };
        };
        let credit = self.grant_on_outcome(&entry, now);
        let load = self.report_for(&entry, credit, now);
        Finish { load, next }
    }

    /// The load report for a reject frame to `entry`.
    pub fn load_report(&mut self, entry: &Process, now: Duration) -> LoadReport {
        self.report_for(entry, 0, now)
    }

    /// Removes a task from the queue. Returns false if it is not queued: it runs, has ended
    /// or never arrived.
    pub fn cancel(&mut self, key: &TaskKey) -> bool {
        self.queue.remove(key)
    }

    /// Removes all queued tasks of a job and returns their keys.
    pub fn cancel_job(&mut self, job: Job) -> Vec<TaskKey> {
        self.queue.remove_job(job)
    }

    /// Drops the credits and the demand of an entry whose connection is lost. Its tasks keep
    /// running, and their outcomes are kept for any entry that asks.
    pub fn disconnect(&mut self, entry: &Process) {
        self.demands.remove(entry);
    }

    /// Returns the queued tasks to run and the grant frames to send now. Call after every
    /// event and at [`Self::next_poll`].
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        self.demands.expire(&self.settings, now);
        let mut actions = Vec::new();
        while let Some((entry, key)) = self.start_queued() {
            actions.push(Action::Run { entry, key });
        }
        let mut granted: BTreeMap<Process, u16> = BTreeMap::new();
        while let Some(entry) = self.next_grant(now) {
            self.demands
                .get_or_insert(&entry, now)
                .grant_credit(now, self.settings.credit_lifetime);
            *granted.entry(entry).or_default() += 1;
        }
        for (entry, credit) in granted {
            let load = self.report_for(&entry, credit, now);
            actions.push(Action::Grant { entry, load });
        }
        actions
    }

    /// When to call [`Self::poll`] at the latest if no event comes before.
    #[must_use]
    pub fn next_poll(&self) -> Option<Duration> {
        let piggyback_end = self
            .idle_since
            .map(|since| since + self.settings.piggyback_wait);
        let expiry = self.demands.next_expiry();
        piggyback_end.into_iter().chain(expiry).min()
    }

    /// How many tasks run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// How many tasks wait in the queue.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn start_task(&mut self, entry: &Process, task: &PlacedTask, now: Duration) -> Verdict {
        let key = task.key;
        let open = self.open_slots();
        let demand = self.demands.get_or_insert(entry, now);
        demand.seen = demand.seen.wrapping_add(1);
        if demand.credit > 0 {
            demand.credit -= 1;
            self.running.insert(key, entry.clone());
            return Verdict::Run;
        }
        if open > 0 {
            self.running.insert(key, entry.clone());
            return Verdict::Run;
        }
        let has_room =
            task.may_wait && self.queue.len() < usize::from(self.settings.queue_capacity);
        if has_room {
            let due = Due::from_lateness(now, task.lateness);
            self.queue.push(entry, key, due);
            return Verdict::Queued;
        }
        Verdict::Full
    }

    /// Slots that no task uses and that are not kept free for a credit.
    fn open_slots(&self) -> u16 {
        let running = u16::try_from(self.running.len()).unwrap_or(u16::MAX);
        self.settings
            .slots
            .saturating_sub(running)
            .saturating_sub(self.demands.credits())
    }

    fn start_queued(&mut self) -> Option<(Process, TaskKey)> {
        if self.open_slots() == 0 || self.is_demand_more_urgent() {
            return None;
        }
        let (entry, key) = self.queue.pop()?;
        self.running.insert(key, entry.clone());
        Some((entry, key))
    }

    /// Whether an entry's waiting work is due so much earlier than all queued tasks that the
    /// slot is worth a grant.
    fn is_demand_more_urgent(&self) -> bool {
        let Some((_, first)) = self.demands.earliest_due() else {
            return false;
        };
        let queued = self.queue.first_due();
        queued.is_some_and(|queued| first.due.plus(self.settings.slack) < queued)
    }

    /// Grants the open slots to the entry that gets the outcome, as long as no other entry's
    /// work is due more than `slack` earlier.
    fn grant_on_outcome(&mut self, entry: &Process, now: Duration) -> u16 {
        let mut given = 0;
        while self.open_slots() > 0 {
            let Some((_, first)) = self.demands.earliest_due() else {
                break;
            };
            let latest = first.due.plus(self.settings.slack);
            let own = self.demands.get_or_insert(entry, now);
            if own.waiting == 0 || own.due > latest {
                break;
            }
            own.grant_credit(now, self.settings.credit_lifetime);
            given += 1;
        }
        given
    }

    /// The entry to which the next open slot is granted by a frame of its own, once the slot
    /// has been open for `piggyback_wait`.
    fn next_grant(&mut self, now: Duration) -> Option<Process> {
        let first = self.demands.earliest_due().map(|(entry, _)| entry.clone());
        let Some(first) = first.filter(|_| self.open_slots() > 0) else {
            self.idle_since = None;
            return None;
        };
        let since = *self.idle_since.get_or_insert(now);
        (now >= since + self.settings.piggyback_wait).then_some(first)
    }

    fn report_for(&mut self, entry: &Process, credit: u16, now: Duration) -> LoadReport {
        LoadReport {
            open: self.open_slots(),
            queued: u16::try_from(self.queue.len()).unwrap_or(u16::MAX),
            own: u16::try_from(self.queue.count_of(entry)).unwrap_or(u16::MAX),
            credit,
            seen: self.demands.get_or_insert(entry, now).seen,
            contended: self.demands.others_waiting(entry),
        }
    }
}
