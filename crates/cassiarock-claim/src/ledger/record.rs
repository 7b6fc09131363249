//! The ledger's records of jobs and their tasks.

use super::tasks::TaskRecords;
use crate::Ballot;
use crate::limit::{ENTRY_NAME_BYTES, MAP_OVERHEAD_FACTOR};
use crate::message::{Cancel, Outcome, TaskState};
use cassiarock_id::{Job, Task};
use std::mem::size_of;

/// How far a task has come at this agent.
#[derive(Debug)]
pub(super) enum Stage {
    /// Accepted and not yet begun: it can still be withdrawn.
    Waiting,
    /// Handed to the worker, or about to be.
    Running,
    /// Ended with this outcome.
    Ended(Outcome),
    /// The last placement was rejected or withdrawn before it began.
    Void,
}

/// What the ledger records of one task.
#[derive(Debug)]
pub(super) struct TaskRecord {
    pub(super) stage: Stage,
    /// The attempt that placed it last.
    pub(super) ballot: Ballot,
    /// That attempt's placement number.
    pub(super) placement: u32,
    /// The attempts to which the outcome is sent.
    pub(super) attached: Vec<Ballot>,
}

impl TaskRecord {
    pub(super) fn attach(&mut self, ballot: &Ballot) {
        if !self.attached.contains(ballot) {
            self.attached.push(ballot.clone());
        }
    }

    /// Whether the record is of a later placement than the one that `cancel` withdraws.
    pub(super) fn is_after(&self, cancel: &Cancel) -> bool {
        (&self.ballot, self.placement) > (&cancel.ballot, cancel.placement)
    }

    pub(super) const fn is_active(&self) -> bool {
        matches!(self.stage, Stage::Waiting | Stage::Running)
    }
}

/// What the ledger records of one job.
#[derive(Debug)]
pub(super) struct JobRecord {
    /// Hash over the tasks of the submission that the record belongs to.
    pub(super) digest: u64,
    /// The highest attempt seen.
    pub(super) fence: Ballot,
    /// The highest membership version under which the job was fenced or started.
    pub(super) view: u64,
    /// Whether the job is closed here, so that nothing more of it starts.
    pub(super) closed: bool,
    pub(super) tasks: TaskRecords,
    /// The bytes that the ledger's total includes for this record.
    pub(super) counted_bytes: usize,
}

impl JobRecord {
    pub(super) const fn new(digest: u64, fence: Ballot, view: u64) -> Self {
        Self {
            digest,
            fence,
            view,
            closed: false,
            tasks: TaskRecords::new(),
            counted_bytes: 0,
        }
    }

    pub(super) fn is_active(&self) -> bool {
        self.tasks.values().any(TaskRecord::is_active)
    }

    /// Whether no task of the job waits, runs or has ended here.
    pub(super) fn is_untouched(&self) -> bool {
        let void = |record: &TaskRecord| matches!(record.stage, Stage::Void);
        self.tasks.values().all(void)
    }

    /// The states of the started and waiting tasks, as a fence report lists them.
    pub(super) fn task_states(&self) -> Vec<(Task, TaskState)> {
        let state = |record: &TaskRecord| match &record.stage {
            Stage::Waiting | Stage::Running => Some(TaskState::Running),
            Stage::Ended(outcome) => Some(TaskState::Ended(outcome.clone())),
            Stage::Void => None,
        };
        let known = |(task, record): (Task, &TaskRecord)| Some((task, state(record)?));
        self.tasks.iter().filter_map(known).collect()
    }

    /// The bytes that the record takes, including outcomes and unused capacity.
    pub(super) fn bytes(&self) -> usize {
        let held: usize = self.tasks.values().map(TaskRecord::held_bytes).sum();
        MAP_OVERHEAD_FACTOR * (size_of::<Job>() + size_of::<Self>())
            + ENTRY_NAME_BYTES
            + ALLOCATION_OVERHEAD_BYTES
            + self.tasks.capacity() * size_of::<(Task, TaskRecord)>()
            + held
    }
}

impl TaskRecord {
    /// The bytes that the record allocates beyond its own size.
    fn held_bytes(&self) -> usize {
        let outcome = match &self.stage {
            Stage::Ended(outcome) => outcome.bytes() + ALLOCATION_OVERHEAD_BYTES,
            Stage::Waiting | Stage::Running | Stage::Void => 0,
        };
        ALLOCATION_OVERHEAD_BYTES + self.attached.capacity() * size_of::<Ballot>() + outcome
    }
}

/// Bytes that the allocator adds to each allocation, including rounding.
const ALLOCATION_OVERHEAD_BYTES: usize = 16;
