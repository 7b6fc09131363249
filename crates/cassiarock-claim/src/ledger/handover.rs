//! The hand-over of a leaving agent's ledger, so that a planned replacement loses no
//! outcome, no fence and no record of a closed job.

use super::lifecycle::Ledger;
use super::record::{JobRecord, Stage, TaskRecord};
use crate::Ballot;
use crate::message::{LedgerRecord, Outcome};
use crate::view::View;
use cassiarock_id::{Job, Process, Task, Wall};
use std::collections::BTreeMap;

/// The reason in the outcome of a task that still runs when its agent hands over.
const CUT_SHORT: &str = "the agent left before the task ended";

/// Copies of each record. The keeper of a job may be exempt from the job's gathers, so that
/// only the other copy is certain to be found.
const HANDOVER_COPIES: usize = 2;

impl Ledger {
    /// The records that must reach the two highest-ranked remaining agents of each job
    /// before this agent's departure may be announced. Call it once no task runs any more.
    /// From then on the ledger rejects starts and fences, because records added later would
    /// be lost with it.
    ///
    /// `view` must be the newest one on the log, and the log record that announces the
    /// departure must directly follow it. Otherwise a successor may have been removed in the
    /// meantime, and the hand-over must be repeated. Members that refused (see
    /// [`Ledger::accepts_handover_from`]) are left out of `view`, as long as two others
    /// remain in it, or one if fewer than three others are members at all.
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
        self.handed_over = true;
        let rest = view.without(&self.me);
        // The floor must reach enough agents that every gather includes one of them.
        let first = rest.members.iter().take(HANDOVER_COPIES);
        let mut sent: BTreeMap<_, Vec<LedgerRecord>> =
            first.map(|to| (to.clone(), Vec::new())).collect();
        for (job, record) in &self.jobs {
            for agent in rest.ranked(*job).into_iter().take(HANDOVER_COPIES) {
                sent.entry(agent.clone())
                    .or_default()
                    .push(ledger_record(*job, record));
            }
        }
        sent.into_iter().collect()
    }

    /// Whether to take over from `leaver`. Two agents that leave at the same time must not
    /// hand over to each other: the lower one goes first, and the higher one passes on what
    /// it took over.
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
        !self.handed_over || *leaver < self.me
    }

    /// Takes over the records of a leaving agent and its [`Ledger::floor`]. Jobs that this
    /// ledger may have evicted are left out: their fences are answered with "forgotten".
    pub fn accept_handover(&mut self, records: Vec<LedgerRecord>, floor: Wall) {
        self.inherited_floor.raise(floor);
        for other in records {
            if self.jobs.contains_key(&other.job) || !self.floor.covers(other.job) {
                self.merge(other);
            }
        }
    }

    fn merge(&mut self, other: LedgerRecord) {
        let job = other.job;
        let record = self.get_or_insert(job, other.digest, &other.fence, other.view);
        record.view = record.view.max(other.view);
        record.closed |= other.closed;
        // Of two submissions under one id the one that ran is kept. The other one's owners
        // are rejected because of their hash, so that their fence is no longer needed.
        if record.digest != other.digest && record.is_untouched() && !other.tasks.is_empty() {
            record.digest = other.digest;
            record.fence = other.fence.clone();
        }
        if record.digest == other.digest {
            for (task, outcome) in other.tasks {
                insert_ended(record, task, outcome, &other.fence);
            }
            record.fence = record.fence.clone().max(other.fence);
        }
        self.update_bytes(job);
    }
}

fn insert_ended(record: &mut JobRecord, task: Task, outcome: Outcome, fence: &Ballot) {
    let known = record.tasks.get(task);
    if known.is_some_and(|known| !matches!(known.stage, Stage::Void)) {
        return;
    }
    let ended = TaskRecord {
        stage: Stage::Ended(outcome),
        ballot: fence.clone(),
        placement: 0,
        attached: Vec::new(),
    };
    record.tasks.insert(task, ended);
}

fn ledger_record(job: Job, record: &JobRecord) -> LedgerRecord {
    let ended = |(task, known): (Task, &TaskRecord)| match &known.stage {
        Stage::Ended(outcome) => Some((task, outcome.clone())),
        Stage::Running => Some((task, Outcome::Lost(CUT_SHORT.to_owned()))),
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
