//! The ledger and its decisions on a task's course: start, begin, end, evict.

use super::fence::advance;
use super::record::{Record, Slot, Stage};
use crate::guard;
use crate::limit::Floor;
use crate::message::{Outcome, Reject, Start};
use crate::{Ballot, RetentionLimit};
use cassiarock_id::{Job, Process, Task, Wall};
use std::collections::BTreeMap;

/// What the agent does with a start message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartDecision {
    /// Queue the task and call [`Ledger::begin`] just before it is handed to the worker.
    Run,
    /// The task is here already; its outcome will be sent to this attempt too.
    Attached,
    /// The task ended here earlier, with this outcome.
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
/// let told = ledger.end(start.job, start.task, done.clone());
/// assert_eq!(told, [start.ballot.clone()]);
/// assert_eq!(ledger.start(&start, now), StartDecision::Ended(done));
/// ```
#[derive(Debug)]
pub struct Ledger {
    pub(super) me: Process,
    limit: RetentionLimit,
    /// The latest membership version, and the one at which this agent joined.
    pub(super) view: u64,
    joined: Option<u64>,
    leaving: bool,
    /// Whether all this was handed over to others.
    pub(super) handed: bool,
    /// The latest time seen: a clock that steps back must not revive a start.
    pub(super) latest: Wall,
    pub(super) floor: Floor,
    /// The highest floor of the agents that handed over to this one: of jobs issued up to
    /// then it can't report for them, even where it has a record of its own.
    pub(super) inherited: Floor,
    pub(super) bytes: usize,
    /// Ordered by issue time, as ids are: eviction takes the oldest first, so that the
    /// floor rises no further than it must.
    pub(super) jobs: BTreeMap<Job, Record>,
}

impl Ledger {
    /// The empty ledger of the agent `me`.
    #[must_use]
    pub const fn new(me: Process, limit: RetentionLimit) -> Self {
        Self {
            me,
            limit,
            view: 0,
            joined: None,
            leaving: false,
            handed: false,
            latest: Wall::from_millis(0),
            floor: Floor::NONE,
            inherited: Floor::NONE,
            bytes: 0,
            jobs: BTreeMap::new(),
        }
    }

    /// Adopts a membership version; lower ones are ignored. The first one must be the
    /// version of this agent's own joining.
    pub fn set_view(&mut self, version: u64) {
        self.joined.get_or_insert(version);
        self.view = self.view.max(version);
    }

    /// From now on nothing new starts here; what was accepted goes on.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes [`Ledger::leave`] back, unless all was handed over already.
    pub const fn cancel_leave(&mut self) {
        self.leaving = self.handed;
    }

    /// Decides on a start message.
    pub fn start(&mut self, start: &Start, now: Wall) -> StartDecision {
        self.latest = self.latest.max(now);
        // Before the checks, as the job itself may be forgotten by it.
        if self.bytes >= self.limit.max_bytes {
            self.evict(now);
        }
        let known = self.jobs.get(&start.job);
        // Whoever uses an id again for other tasks must not see the first one's answers.
        if known.is_some_and(|record| record.digest != start.digest) {
            return StartDecision::Rejected(Reject::Mismatch);
        }
        if let Some(verdict) = self.known(start) {
            return verdict;
        }
        if let Err(reject) = self.check(start) {
            return StartDecision::Rejected(reject);
        }
        if start.ballot.round == Ballot::UNCLAIMED {
            return StartDecision::Run;
        }
        if self.bytes >= self.limit.max_bytes {
            self.put(start, Stage::Void);
            return StartDecision::Rejected(Reject::Full);
        }
        self.put(start, Stage::Waiting);
        StartDecision::Run
    }

    /// Takes back an accepted start for which the agent has no room; the agent answers
    /// `Reject::Full`. The rejected placement stays rejected, because a second copy of
    /// the message may still be on its way while the task is placed elsewhere.
    pub fn withdraw_start(&mut self, start: &Start) {
        let slot = self.slot(start.job, start.task);
        if let Some(slot) = slot.filter(|slot| matches!(slot.stage, Stage::Waiting)) {
            slot.stage = Stage::Void;
        }
    }

    /// Moves a waiting task on, just before it is handed to the worker. False if it was
    /// withdrawn meanwhile: then it must not be started.
    pub fn begin(&mut self, job: Job, task: Task) -> bool {
        let slot = self.slot(job, task);
        let Some(slot) = slot.filter(|slot| matches!(slot.stage, Stage::Waiting)) else {
            return false;
        };
        slot.stage = Stage::Running;
        true
    }

    /// Takes back [`Ledger::begin`] for a task that is proved not to have reached the
    /// worker: no connection came about. Its placement stays rejected, as by
    /// [`Ledger::withdraw_start`], and the task may be placed again. Returns the attempts to be
    /// told, each with the placement that the reject is to carry: 0 for those that
    /// attached to the task after another one had placed it.
    pub fn revert_begin(&mut self, job: Job, task: Task) -> Vec<(Ballot, u32)> {
        let slot = self.slot(job, task);
        let Some(slot) = slot.filter(|slot| matches!(slot.stage, Stage::Running)) else {
            return Vec::new();
        };
        slot.stage = Stage::Void;
        let (ballot, placement) = (slot.ballot.clone(), slot.placement);
        let told = std::mem::take(&mut slot.attached).into_iter();
        let told = told.map(|to| (to.clone(), if to == ballot { placement } else { 0 }));
        told.collect()
    }

    /// Keeps a begun task's outcome and returns the attempts to be told.
    pub fn end(&mut self, job: Job, task: Task, outcome: Outcome) -> Vec<Ballot> {
        let slot = self.slot(job, task);
        let Some(slot) = slot.filter(|slot| matches!(slot.stage, Stage::Running)) else {
            return Vec::new();
        };
        slot.stage = Stage::Ended(outcome);
        let told = slot.attached.clone();
        self.recount(job);
        told
    }

    /// Forgets jobs older than the limit's age, and above its bytes the oldest ones, but
    /// none with a task that waits or runs.
    pub fn evict(&mut self, now: Wall) {
        self.latest = self.latest.max(now);
        let oldest = self.latest.minus(self.limit.max_age);
        self.floor.raise(oldest);
        let mut excess = self.bytes.saturating_sub(self.limit.max_bytes / 10 * 9);
        let mut gone = Vec::new();
        for (job, record) in &self.jobs {
            if excess == 0 && job.issued() > oldest {
                break;
            }
            if !record.is_active() {
                excess = excess.saturating_sub(record.counted);
                gone.push(*job);
            }
        }
        for job in gone {
            self.forget(job);
        }
    }

    /// The issue time up to which jobs may have been forgotten here, or by an agent that
    /// handed over to this one. A hand-over takes it along.
    #[must_use]
    pub fn floor(&self) -> Wall {
        self.floor.issued().max(self.inherited.issued())
    }

    /// The bytes held now.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    fn known(&mut self, start: &Start) -> Option<StartDecision> {
        let slot = self.slot(start.job, start.task)?;
        match &slot.stage {
            Stage::Waiting | Stage::Void if start.ballot < slot.ballot => None,
            Stage::Waiting | Stage::Running => {
                slot.attach(&start.ballot);
                Some(StartDecision::Attached)
            }
            Stage::Ended(outcome) => Some(StartDecision::Ended(outcome.clone())),
            Stage::Void => {
                let void = (&slot.ballot, slot.placement);
                let newer = guard::newer_start((&start.ballot, start.placement), void);
                (!newer).then_some(StartDecision::Rejected(Reject::Cancelled))
            }
        }
    }

    fn check(&self, start: &Start) -> Result<(), Reject> {
        if let Some(record) = self.jobs.get(&start.job) {
            if !guard::above_fence(&start.ballot, &record.fence) {
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
        // A gather by a membership without this agent has not fenced it.
        if self.joined.is_some_and(|joined| start.view < joined) {
            return Err(Reject::View(self.view));
        }
        if self.leaving {
            return Err(Reject::Leaving);
        }
        if self.latest > start.start_by {
            return Err(Reject::Expired);
        }
        Ok(())
    }

    pub(super) fn is_forgotten(&self, job: Job) -> bool {
        self.floor.covers(job) || job.issued() <= self.latest.minus(self.limit.max_age)
    }

    pub(super) fn slot(&mut self, job: Job, task: Task) -> Option<&mut Slot> {
        self.jobs.get_mut(&job)?.tasks.get_mut(task)
    }

    pub(super) fn open(
        &mut self,
        job: Job,
        digest: u64,
        ballot: &Ballot,
        view: u64,
    ) -> &mut Record {
        let new = || Record::new(digest, ballot.clone(), view);
        self.jobs.entry(job).or_insert_with(new)
    }

    /// Counts a record's bytes anew after it has changed.
    pub(super) fn recount(&mut self, job: Job) {
        if let Some(record) = self.jobs.get_mut(&job) {
            let bytes = record.bytes();
            self.bytes = self.bytes.saturating_sub(record.counted) + bytes;
            record.counted = bytes;
        }
    }

    fn put(&mut self, start: &Start, stage: Stage) {
        let record = self.open(start.job, start.digest, &start.ballot, start.view);
        advance(record, &start.ballot, start.view);
        // The fence's copy shares its name with the other tasks of the job.
        let shared = Some(&record.fence).filter(|fence| **fence == start.ballot);
        let ballot = shared.unwrap_or(&start.ballot).clone();
        let slot = Slot {
            stage,
            attached: vec![ballot.clone()],
            ballot,
            placement: start.placement,
        };
        record.tasks.insert(start.task, slot);
        self.recount(start.job);
    }

    fn forget(&mut self, job: Job) {
        if let Some(record) = self.jobs.remove(&job) {
            self.bytes = self.bytes.saturating_sub(record.counted);
            self.floor.raise(job.issued());
        }
    }
}
