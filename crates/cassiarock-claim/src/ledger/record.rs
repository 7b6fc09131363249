//! What the ledger holds of one job.

use super::slots::Slots;
use crate::Ballot;
use crate::limit::{MAP_ROOM, NAME_BYTES};
use crate::message::{Cancel, Outcome, TaskState};
use cassiarock_id::{Job, Task};
use std::mem::size_of;

/// How far a task has come at this agent.
#[derive(Debug)]
pub(super) enum Stage {
    /// Accepted, and not yet begun: it can be withdrawn.
    Waiting,
    /// Begun.
    Running,
    /// Ended.
    Ended(Outcome),
    /// A placement that was rejected or withdrawn before it began.
    Void,
}

/// One task at this agent.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) stage: Stage,
    /// The attempt that placed it last.
    pub(super) ballot: Ballot,
    /// That attempt's placement number.
    pub(super) placement: u32,
    /// The attempts to be told the outcome.
    pub(super) attached: Vec<Ballot>,
}

impl Slot {
    pub(super) fn attach(&mut self, ballot: &Ballot) {
        if !self.attached.contains(ballot) {
            self.attached.push(ballot.clone());
        }
    }

    /// Whether the slot holds a later placement than the one that `cancel` withdraws.
    pub(super) fn is_after(&self, cancel: &Cancel) -> bool {
        (&self.ballot, self.placement) > (&cancel.ballot, cancel.placement)
    }

    pub(super) const fn is_active(&self) -> bool {
        matches!(self.stage, Stage::Waiting | Stage::Running)
    }
}

/// One job at this agent.
#[derive(Debug)]
pub(super) struct Record {
    /// Hash over the tasks of the submission that came first.
    pub(super) digest: u64,
    /// The highest attempt seen.
    pub(super) fence: Ballot,
    /// The highest membership version under which it was fenced or started.
    pub(super) view: u64,
    /// Whether this agent witnesses that the job was refused.
    pub(super) closed: bool,
    pub(super) tasks: Slots,
    /// The bytes that the ledger has counted for the record.
    pub(super) counted: usize,
}

impl Record {
    pub(super) const fn new(digest: u64, fence: Ballot, view: u64) -> Self {
        Self {
            digest,
            fence,
            view,
            closed: false,
            tasks: Slots::new(),
            counted: 0,
        }
    }

    pub(super) fn is_active(&self) -> bool {
        self.tasks.values().any(Slot::is_active)
    }

    /// Whether nothing of the job was accepted here.
    pub(super) fn is_untouched(&self) -> bool {
        let void = |slot: &Slot| matches!(slot.stage, Stage::Void);
        self.tasks.values().all(void)
    }

    /// What a fence reports.
    pub(super) fn states(&self) -> Vec<(Task, TaskState)> {
        let state = |slot: &Slot| match &slot.stage {
            Stage::Waiting | Stage::Running => Some(TaskState::Running),
            Stage::Ended(outcome) => Some(TaskState::Ended(outcome.clone())),
            Stage::Void => None,
        };
        let known = |(task, slot): (Task, &Slot)| Some((task, state(slot)?));
        self.tasks.iter().filter_map(known).collect()
    }

    /// The bytes that the record takes, outcomes and unused room included.
    pub(super) fn bytes(&self) -> usize {
        let held: usize = self.tasks.values().map(Slot::held_bytes).sum();
        MAP_ROOM * (size_of::<Job>() + size_of::<Self>())
            + NAME_BYTES
            + BLOCK_BYTES
            + self.tasks.room() * size_of::<(Task, Slot)>()
            + held
    }
}

impl Slot {
    /// The bytes that the slot holds beyond its own size.
    fn held_bytes(&self) -> usize {
        let outcome = match &self.stage {
            Stage::Ended(outcome) => outcome.bytes() + BLOCK_BYTES,
            Stage::Waiting | Stage::Running | Stage::Void => 0,
        };
        BLOCK_BYTES + self.attached.capacity() * size_of::<Ballot>() + outcome
    }
}

/// What the allocator adds to a block, rounding included.
const BLOCK_BYTES: usize = 16;
