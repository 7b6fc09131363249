//! What a leaving agent's ledger passes on, so that a planned replacement loses no
//! outcome, no fence and no witness of a refusal.

use super::book::Ledger;
use super::record::{Record, Slot, Stage};
use crate::Ballot;
use crate::message::{LedgerRecord, Outcome};
use crate::view::View;
use cassiarock_id::{Job, Process, Task, Wall};
use std::collections::BTreeMap;

/// The end of a task that still runs when its agent must go.
const CUT: &str = "the agent left before the task ended";

/// Copies of each record. The keeper of a job may be exempt from its gathers, so that
/// only the other copy is sure to be found.
const COPIES: usize = 2;

impl Ledger {
    /// What must be at the two highest-ranked remaining agents before this one may be
    /// announced as gone. Call it when nothing runs any more. From then on the ledger
    /// rejects starts and fences: what it accepted later would be lost with it.
    ///
    /// `view` must be the newest on the log, and the record that announces the end must
    /// directly follow it there; otherwise a successor may have been removed meanwhile,
    /// and the hand-over is done again. Members that refused (see [`Ledger::accepts_handover_from`])
    /// are left out of `view`, as long as two others stay in it, or one where fewer than
    /// three others are members at all.
    ///
    /// ```
    /// use cassiarock_claim::RetentionLimit;
    /// use cassiarock_claim::ledger::Ledger;
    /// use cassiarock_claim::view::View;
    /// use cassiarock_id::Process;
    /// let me = Process::new("agent-1", 1);
    /// let limit = RetentionLimit::new(std::time::Duration::from_secs(600), 1 << 20);
    /// let mut ledger = Ledger::new(me.clone(), limit);
    /// assert!(ledger.hand_over(&View::new(1, [me])).is_empty());
    /// ```
    pub fn hand_over(&mut self, view: &View) -> Vec<(Process, Vec<LedgerRecord>)> {
        self.leave();
        self.handed = true;
        let rest = view.without(&self.me);
        // The floor must reach agents of which every gather meets one.
        let first = rest.members.iter().take(COPIES);
        let mut sent: BTreeMap<_, Vec<LedgerRecord>> =
            first.map(|to| (to.clone(), Vec::new())).collect();
        for (job, record) in &self.jobs {
            for agent in rest.ranked(*job).into_iter().take(COPIES) {
                sent.entry(agent.clone())
                    .or_default()
                    .push(kept(*job, record));
            }
        }
        sent.into_iter().collect()
    }

    /// Whether to take over from `leaver`. Two agents that leave at once must not hand
    /// over to each other: the lower one goes first, and the higher one hands over again
    /// what it took from it.
    ///
    /// ```
    /// use cassiarock_claim::RetentionLimit;
    /// use cassiarock_claim::ledger::Ledger;
    /// use cassiarock_id::Process;
    /// let limit = RetentionLimit::new(std::time::Duration::from_secs(600), 1 << 20);
    /// let ledger = Ledger::new(Process::new("agent-1", 1), limit);
    /// assert!(ledger.accepts_handover_from(&Process::new("agent-2", 1)));
    /// ```
    #[must_use]
    pub fn accepts_handover_from(&self, leaver: &Process) -> bool {
        !self.handed || *leaver < self.me
    }

    /// Takes over what a leaving agent knew, and its [`Ledger::floor`]. Jobs that this ledger may have forgotten
    /// are left out: their fences are answered "forgotten".
    pub fn accept_handover(&mut self, records: Vec<LedgerRecord>, floor: Wall) {
        self.inherited.raise(floor);
        for kept in records {
            if self.jobs.contains_key(&kept.job) || !self.floor.covers(kept.job) {
                self.merge(kept);
            }
        }
    }

    fn merge(&mut self, kept: LedgerRecord) {
        let job = kept.job;
        let record = self.open(job, kept.digest, &kept.fence, kept.view);
        record.view = record.view.max(kept.view);
        record.closed |= kept.closed;
        // Of two submissions under one id the one that ran stays; the other's owners are
        // turned away by its hash, so that their fence is needed no more.
        if record.digest != kept.digest && record.is_untouched() && !kept.tasks.is_empty() {
            record.digest = kept.digest;
            record.fence = kept.fence.clone();
        }
        if record.digest == kept.digest {
            for (task, outcome) in kept.tasks {
                insert(record, task, outcome, &kept.fence);
            }
            record.fence = record.fence.clone().max(kept.fence);
        }
        self.recount(job);
    }
}

fn insert(record: &mut Record, task: Task, outcome: Outcome, fence: &Ballot) {
    let known = record.tasks.get(task);
    if known.is_some_and(|slot| !matches!(slot.stage, Stage::Void)) {
        return;
    }
    let slot = Slot {
        stage: Stage::Ended(outcome),
        ballot: fence.clone(),
        placement: 0,
        attached: Vec::new(),
    };
    record.tasks.insert(task, slot);
}

fn kept(job: Job, record: &Record) -> LedgerRecord {
    let ended = |(task, slot): (Task, &Slot)| match &slot.stage {
        Stage::Ended(outcome) => Some((task, outcome.clone())),
        Stage::Running => Some((task, Outcome::Lost(CUT.to_owned()))),
        Stage::Waiting | Stage::Void => None,
    };
    LedgerRecord {
        job,
        digest: record.digest,
        fence: record.fence.clone(),
        view: record.view,
        closed: record.closed,
        tasks: record.tasks.iter().filter_map(ended).collect(),
    }
}
