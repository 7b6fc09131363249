//! The slots of one upstream.

use super::Settings;
use super::demand::Register;
use super::queue::Queue;
use crate::Due;
use crate::load::{LoadReport, SlotDemand};
use crate::place::{PlacedTask, TaskKey};
use cassiarock_id::{Job, Process};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// What becomes of one task of a start frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Run it now.
    Run,
    /// It waits here; [`Finish::next`] or [`SlotScheduler::poll`] runs it later.
    Queued,
    /// No slot and no place in the queue: reject it. The entry may place it elsewhere.
    Full,
}

/// What follows from a task's end.
#[derive(Clone, Debug, PartialEq)]
pub struct Finish {
    /// To be sent on the outcome frame.
    pub load: LoadReport,
    /// A queued task that takes the slot, with its entry.
    pub next: Option<(Process, TaskKey)>,
}

/// What the agent has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run a task that waited here.
    Run {
        /// Who sent it.
        entry: Process,
        /// The task.
        key: TaskKey,
    },
    /// Send a grant frame.
    Grant {
        /// To whom.
        entry: Process,
        /// What it says; `credit` is at least 1.
        load: LoadReport,
    },
}

/// The slots of one upstream, shared by a few entries.
///
/// Made for an upstream that is full most of the time and for entries with unequal
/// load. A free slot for which nobody waits is open: the first start takes it, with no
/// message beyond the start. When entries wait, a slot goes to the work that is due
/// first; it rides on the outcome if that goes to the same entry, or to one whose work
/// is due at most `slack` later, because every other hand-over costs a frame.
///
/// ```
/// use cassiarock_id::{Job, Process, Task, Wall};
/// use cassiarock_policy::load::SlotDemand;
/// use cassiarock_policy::place::{TaskKey, PlacedTask};
/// use cassiarock_policy::slot::{SlotScheduler, Settings, Verdict};
/// use std::time::Duration;
/// let entry = Process::new("entry-1", 1);
/// let key = TaskKey::new(Job::with_bits(Wall::from_millis(1), 1), Task(0));
/// let mut pool = SlotScheduler::new(Settings::new(8));
/// let now = Duration::ZERO;
/// assert_eq!(pool.start(&entry, &[PlacedTask::new(key, 0)], &SlotDemand::default(), now), [Verdict::Run]);
/// assert_eq!(pool.finish(&key, now).load.open, 8);
/// ```
#[derive(Debug)]
pub struct SlotScheduler {
    settings: Settings,
    running: HashMap<TaskKey, Process>,
    queue: Queue,
    register: Register,
    /// Since when a slot is open although somebody waits.
    idle_since: Option<Duration>,
}

impl SlotScheduler {
    /// An upstream on which nothing runs.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            running: HashMap::new(),
            queue: Queue::default(),
            register: Register::default(),
            idle_since: None,
        }
    }

    /// Takes in a start frame: one verdict per task, in order, and the entry's demand.
    /// Call [`Self::poll`] afterwards.
    pub fn start(
        &mut self,
        entry: &Process,
        tasks: &[PlacedTask],
        ask: &SlotDemand,
        now: Duration,
    ) -> Vec<Verdict> {
        self.register.expire(&self.settings, now);
        let verdicts = tasks
            .iter()
            .map(|task| self.start_one(entry, task, now))
            .collect();
        self.register.ask(entry, ask, now);
        verdicts
    }

    /// Counts tasks of a start frame that the agent settles without a slot: repeats, and
    /// starts that its ledger rejects.
    pub fn count_skipped(&mut self, entry: &Process, tasks: u32, now: Duration) {
        let demand = self.register.of(entry, now);
        demand.seen = demand.seen.wrapping_add(tasks);
    }

    /// Takes in a demand frame, or a start frame without tasks.
    pub fn set_demand(&mut self, entry: &Process, ask: &SlotDemand, now: Duration) {
        self.register.ask(entry, ask, now);
    }

    /// A running task ended, however it ended.
    pub fn finish(&mut self, key: &TaskKey, now: Duration) -> Finish {
        self.register.expire(&self.settings, now);
        let entry = self.running.remove(key);
        let next = self.run_queued();
        let Some(entry) = entry else {
            let load = LoadReport::default();
            return Finish { load, next };
        };
        let credit = self.give_on_outcome(&entry, now);
        let load = self.load(&entry, credit, now);
        Finish { load, next }
    }

    /// What a reject frame to `entry` says.
    pub fn load_report(&mut self, entry: &Process, now: Duration) -> LoadReport {
        self.load(entry, 0, now)
    }

    /// Drops a task that waits here. False if it does not: it runs, ended or never came.
    pub fn cancel(&mut self, key: &TaskKey) -> bool {
        self.queue.remove(key)
    }

    /// Drops all tasks of a job that wait here, and names them.
    pub fn cancel_job(&mut self, job: Job) -> Vec<TaskKey> {
        self.queue.remove_job(job)
    }

    /// The connection to an entry is gone: its credits and demand are void. Its tasks
    /// run on, their outcomes are kept for whoever asks.
    pub fn disconnect(&mut self, entry: &Process) {
        self.register.remove(entry);
    }

    /// The queued tasks to run and the grant frames to send now. Call after every event
    /// and at [`Self::next_poll`].
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        self.register.expire(&self.settings, now);
        let mut actions = Vec::new();
        while let Some((entry, key)) = self.run_queued() {
            actions.push(Action::Run { entry, key });
        }
        let mut granted: BTreeMap<Process, u16> = BTreeMap::new();
        while let Some(entry) = self.next_grant(now) {
            self.register
                .of(&entry, now)
                .give(now, self.settings.credit_lifetime);
            *granted.entry(entry).or_default() += 1;
        }
        for (entry, credit) in granted {
            let load = self.load(&entry, credit, now);
            actions.push(Action::Grant { entry, load });
        }
        actions
    }

    /// When [`Self::poll`] has to be called at the latest, if no event comes before.
    #[must_use]
    pub fn next_poll(&self) -> Option<Duration> {
        let patience = self
            .idle_since
            .map(|since| since + self.settings.piggyback_wait);
        let expiry = self.register.next_expiry();
        patience.into_iter().chain(expiry).min()
    }

    /// How many tasks run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// How many tasks wait here.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn start_one(&mut self, entry: &Process, task: &PlacedTask, now: Duration) -> Verdict {
        let key = task.key;
        let open = self.open();
        let demand = self.register.of(entry, now);
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
        let has_place =
            task.may_wait && self.queue.len() < usize::from(self.settings.queue_capacity);
        if has_place {
            let due = Due::from_lateness(now, task.lateness);
            self.queue.push(entry, key, due);
            return Verdict::Queued;
        }
        Verdict::Full
    }

    fn open(&self) -> u16 {
        let running = u16::try_from(self.running.len()).unwrap_or(u16::MAX);
        self.settings
            .slots
            .saturating_sub(running)
            .saturating_sub(self.register.credits())
    }

    fn run_queued(&mut self) -> Option<(Process, TaskKey)> {
        if self.open() == 0 || self.demand_passes_queue() {
            return None;
        }
        let (entry, key) = self.queue.pop()?;
        self.running.insert(key, entry.clone());
        Some((entry, key))
    }

    /// Whether some entry's waiting work is due so much earlier than all that waits here
    /// that the slot is worth a grant.
    fn demand_passes_queue(&self) -> bool {
        let Some((_, first)) = self.register.first() else {
            return false;
        };
        let queued = self.queue.first_due();
        queued.is_some_and(|queued| first.due.plus(self.settings.slack) < queued)
    }

    /// Gives the open slots to the outcome's entry, as far as no other entry's work is
    /// due more than `slack` earlier.
    fn give_on_outcome(&mut self, entry: &Process, now: Duration) -> u16 {
        let mut given = 0;
        while self.open() > 0 {
            let Some((_, first)) = self.register.first() else {
                break;
            };
            let latest = first.due.plus(self.settings.slack);
            let own = self.register.of(entry, now);
            if own.waiting == 0 || own.due > latest {
                break;
            }
            own.give(now, self.settings.credit_lifetime);
            given += 1;
        }
        given
    }

    fn next_grant(&mut self, now: Duration) -> Option<Process> {
        let first = self.register.first().map(|(entry, _)| entry.clone());
        let Some(first) = first.filter(|_| self.open() > 0) else {
            self.idle_since = None;
            return None;
        };
        let since = *self.idle_since.get_or_insert(now);
        (now >= since + self.settings.piggyback_wait).then_some(first)
    }

    fn load(&mut self, entry: &Process, credit: u16, now: Duration) -> LoadReport {
        LoadReport {
            open: self.open(),
            queued: u16::try_from(self.queue.len()).unwrap_or(u16::MAX),
            own: u16::try_from(self.queue.of(entry)).unwrap_or(u16::MAX),
            credit,
            seen: self.register.of(entry, now).seen,
            contended: self.register.others_wait(entry),
        }
    }
}
