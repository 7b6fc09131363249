//! The ledger and its decisions over the lifecycle of a task: start, begin, end, evict.

use super::fence::raise_fence;
use super::record::{JobRecord, Stage, TaskRecord};
use crate::guard;
use crate::limit::EvictionFloor;
use crate::message::{Outcome, Reject, Start};
use crate::{Ballot, RetentionLimit};
use cassiarock_id::{Job, Process, Task, Wall};
use std::collections::BTreeMap;

/// What the agent does with a start message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartDecision {
    /// Queue the task and call [`Ledger::begin`] just before it is handed to the worker.
    Run,
    /// The task already waits or runs here; its outcome will be sent to this attempt too.
    Attached,
    /// The task has ended here with this outcome.
    Ended(Outcome),
    /// The task was not started.
    Rejected(Reject),
}

/// The start ledger of one agent.
///
/// ```
/// use cassiarock_claim::ledger::{Ledger, StartDecision};
/// use cassiarock_claim::message::{Outcome, Start};
/// use cassiarock_claim::{Ballot, RetentionLimit};
/// use cassiarock_id::{Job, Process, Task, Wall};
/// use std::time::Duration;
///
/// let limit = RetentionLimit::new(Duration::from_secs(600), 1 << 20);
/// let mut ledger = Ledger::new(Process::new("agent-1", 1), limit);
/// let now = Wall::from_millis(1_000_000);
/// let start = Start {
///     job: Job::with_bits(now, 1),
///     digest: 9,
///     ballot: Ballot::new(Ballot::FRESH, Process::new("entry-1", 1)),
///     keeper: None,
///     view: 1,
///     task: Task(0),
///     placement: 1,
///     start_by: now.plus(Duration::from_secs(1)),
/// };
/// assert_eq!(ledger.start(&start, now), StartDecision::Run);
/// assert_eq!(ledger.start(&start, now), StartDecision::Attached);
/// assert!(ledger.begin(start.job, start.task));
/// let done = Outcome::Done(b"ok".to_vec());
/// let notified = ledger.end(start.job, start.task, done.clone());
/// assert_eq!(notified, [start.ballot.clone()]);
/// assert_eq!(ledger.start(&start, now), StartDecision::Ended(done));
/// ```
#[derive(Debug)]
pub struct Ledger {
    pub(super) me: Process,
    limit: RetentionLimit,
    /// The highest membership version seen.
    pub(super) view: u64,
    /// The membership version at which this agent joined.
    joined: Option<u64>,
    leaving: bool,
    /// Whether all records were handed over to other agents.
    pub(super) handed_over: bool,
    /// The latest time seen: a clock that steps back must not make an expired start valid
    /// again.
    pub(super) latest_time: Wall,
    pub(super) floor: EvictionFloor,
    /// The highest floor of the agents that handed over to this one. Of a job issued at or
    /// before it this agent can't report what they started, even if it has a record of its
    /// own.
    pub(super) inherited_floor: EvictionFloor,
    pub(super) bytes: usize,
    /// Ordered by issue time, as ids are. Eviction removes the oldest first, so that the
    /// floor rises no further than necessary.
    pub(super) jobs: BTreeMap<Job, JobRecord>,
}

impl Ledger {
    /// An empty ledger for the agent `me`.
    #[must_use]
    pub const fn new(me: Process, limit: RetentionLimit) -> Self {
        Self {
            me,
            limit,
            view: 0,
            joined: None,
            leaving: false,
            handed_over: false,
            latest_time: Wall::from_millis(0),
            floor: EvictionFloor::NONE,
            inherited_floor: EvictionFloor::NONE,
            bytes: 0,
            jobs: BTreeMap::new(),
        }
    }

    /// Adopts a membership version; lower ones are ignored. The first one must be the
    /// version at which this agent joined.
    pub fn set_view(&mut self, version: u64) {
        self.joined.get_or_insert(version);
        self.view = self.view.max(version);
    }

    /// Rejects new starts from now on; accepted tasks continue.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Undoes [`Ledger::leave`], unless the records were handed over already.
    pub const fn cancel_leave(&mut self) {
        self.leaving = self.handed_over;
    }

    /// Decides on a start message.
    pub fn start(&mut self, start: &Start, now: Wall) -> StartDecision {
        self.latest_time = self.latest_time.max(now);
        // Before the checks, because the eviction may remove this very job.
        if self.bytes >= self.limit.max_bytes {
            self.evict(now);
        }
        let known = self.jobs.get(&start.job);
        // A submission that reuses an id for other tasks must not get the first one's outcomes.
        if known.is_some_and(|record| record.digest != start.digest) {
            return StartDecision::Rejected(Reject::Mismatch);
        }
        if let Some(decision) = self.decide_known(start) {
            return decision;
        }
        if let Err(reject) = self.check_new(start) {
            return StartDecision::Rejected(reject);
        }
        if start.ballot.round == Ballot::UNCLAIMED {
            return StartDecision::Run;
        }
        if self.bytes >= self.limit.max_bytes {
            self.insert(start, Stage::Void);
            return StartDecision::Rejected(Reject::Full);
        }
        self.insert(start, Stage::Waiting);
        StartDecision::Run
    }

    /// Withdraws an accepted start for which the agent has no slot or queue place; the agent
    /// answers `Reject::Full`. The placement stays rejected, because a second copy of the
    /// message may still arrive after the task was placed elsewhere.
    pub fn withdraw_start(&mut self, start: &Start) {
        let record = self.task_mut(start.job, start.task);
        if let Some(record) = record.filter(|record| matches!(record.stage, Stage::Waiting)) {
            record.stage = Stage::Void;
        }
    }

    /// Marks a waiting task as running, just before it is handed to the worker. Returns
    /// false if the task was withdrawn in the meantime: then it must not be started.
    pub fn begin(&mut self, job: Job, task: Task) -> bool {
        let record = self.task_mut(job, task);
        let Some(record) = record.filter(|record| matches!(record.stage, Stage::Waiting)) else {
            return false;
        };
        record.stage = Stage::Running;
        true
    }

    /// Undoes [`Ledger::begin`] for a task that is proved not to have reached the worker
    /// because no connection was established. Its placement stays rejected, as by
    /// [`Ledger::withdraw_start`], and the task may be placed again. Returns the attempts to
    /// notify, each with the placement that the reject must carry: 0 for attempts that
    /// attached to the task after another one had placed it.
    pub fn revert_begin(&mut self, job: Job, task: Task) -> Vec<(Ballot, u32)> {
        let record = self.task_mut(job, task);
        let Some(record) = record.filter(|record| matches!(record.stage, Stage::Running)) else {
            return Vec::new();
        };
        record.stage = Stage::Void;
        let (ballot, placement) = (record.ballot.clone(), record.placement);
        let attached = std::mem::take(&mut record.attached).into_iter();
        let notified = attached.map(|to| (to.clone(), if to == ballot { placement } else { 0 }));
        notified.collect()
    }

    /// Records the outcome of a running task and returns the attempts to notify.
    pub fn end(&mut self, job: Job, task: Task, outcome: Outcome) -> Vec<Ballot> {
        let record = self.task_mut(job, task);
        let Some(record) = record.filter(|record| matches!(record.stage, Stage::Running)) else {
            return Vec::new();
        };
        record.stage = Stage::Ended(outcome);
        let notified = record.attached.clone();
        self.update_bytes(job);
        notified
    }

    /// Removes jobs older than the limit's age, and the oldest ones while more than nine
    /// tenths of the limit's bytes are in use. Jobs with a waiting or running task stay.
    pub fn evict(&mut self, now: Wall) {
        self.latest_time = self.latest_time.max(now);
        let oldest = self.latest_time.minus(self.limit.max_age);
        self.floor.raise(oldest);
        let mut excess = self.bytes.saturating_sub(self.limit.max_bytes / 10 * 9);
        let mut evicted = Vec::new();
        for (job, record) in &self.jobs {
            if excess == 0 && job.issued() > oldest {
                break;
            }
            if !record.is_active() {
                excess = excess.saturating_sub(record.counted_bytes);
                evicted.push(*job);
            }
        }
        for job in evicted {
            self.remove(job);
        }
    }

    /// The issue time up to which jobs may have been evicted here, or by an agent that
    /// handed over to this one. A hand-over passes it on.
    #[must_use]
    pub fn floor(&self) -> Wall {
        self.floor.issued().max(self.inherited_floor.issued())
    }

    /// The bytes that all records take.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// The decision on a start of a task that has a record, unless the checks for a new
    /// start must decide.
    fn decide_known(&mut self, start: &Start) -> Option<StartDecision> {
        let record = self.task_mut(start.job, start.task)?;
        match &record.stage {
            Stage::Waiting | Stage::Void if start.ballot < record.ballot => None,
            Stage::Waiting | Stage::Running => {
                record.attach(&start.ballot);
                Some(StartDecision::Attached)
            }
            Stage::Ended(outcome) => Some(StartDecision::Ended(outcome.clone())),
            Stage::Void => {
                let void = (&record.ballot, record.placement);
                let newer = guard::is_newer_start((&start.ballot, start.placement), void);
                (!newer).then_some(StartDecision::Rejected(Reject::Cancelled))
            }
        }
    }

    fn check_new(&self, start: &Start) -> Result<(), Reject> {
        if let Some(record) = self.jobs.get(&start.job) {
            if !guard::passes_fence(&start.ballot, &record.fence) {
                return Err(Reject::Fenced(record.fence.clone()));
            }
            if record.closed {
                return Err(Reject::Closed);
            }
        } else if self.is_forgotten(start.job) {
            return Err(Reject::Forgotten);
        }
        if guard::is_keeper(start.keeper.as_ref() == Some(&self.me)) {
            return Err(Reject::Keeper);
        }
        // A gather under a view that lacks this agent has not fenced it.
        if self.joined.is_some_and(|joined| start.view < joined) {
            return Err(Reject::View(self.view));
        }
        if self.leaving {
            return Err(Reject::Leaving);
        }
        if self.latest_time > start.start_by {
            return Err(Reject::Expired);
        }
        Ok(())
    }

    pub(super) fn is_forgotten(&self, job: Job) -> bool {
        self.floor.covers(job) || job.issued() <= self.latest_time.minus(self.limit.max_age)
    }

    pub(super) fn task_mut(&mut self, job: Job, task: Task) -> Option<&mut TaskRecord> {
        self.jobs.get_mut(&job)?.tasks.get_mut(task)
    }

    pub(super) fn get_or_insert(
        &mut self,
        job: Job,
        digest: u64,
        ballot: &Ballot,
        view: u64,
    ) -> &mut JobRecord {
        let new = || JobRecord::new(digest, ballot.clone(), view);
        self.jobs.entry(job).or_insert_with(new)
    }

    /// Updates the byte total after a job's record has changed.
    pub(super) fn update_bytes(&mut self, job: Job) {
        if let Some(record) = self.jobs.get_mut(&job) {
            let bytes = record.bytes();
            self.bytes = self.bytes.saturating_sub(record.counted_bytes) + bytes;
            record.counted_bytes = bytes;
        }
    }

    fn insert(&mut self, start: &Start, stage: Stage) {
        let record = self.get_or_insert(start.job, start.digest, &start.ballot, start.view);
        raise_fence(record, &start.ballot, start.view);
        // Cloning the fence shares the entry's name between all tasks of the job.
        let shared = Some(&record.fence).filter(|fence| **fence == start.ballot);
        let ballot = shared.unwrap_or(&start.ballot).clone();
        let task = TaskRecord {
            stage,
            attached: vec![ballot.clone()],
            ballot,
            placement: start.placement,
        };
        record.tasks.insert(start.task, task);
        self.update_bytes(start.job);
    }

    fn remove(&mut self, job: Job) {
        if let Some(record) = self.jobs.remove(&job) {
            self.bytes = self.bytes.saturating_sub(record.counted_bytes);
            self.floor.raise(job.issued());
        }
    }
}
