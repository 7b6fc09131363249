//! The messages about tasks and load that entries and agents exchange.

use cassiarock_claim::Ballot;
use cassiarock_claim::message::{
    ClaimRecord, ClaimReply, FenceReport, LedgerRecord, Outcome, Reject, Start,
};
use cassiarock_id::{Job, Name, Process, Task, Wall};
use cassiarock_policy::load::LoadReport;
use serde::{Deserialize, Serialize};

/// An entry's heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ping {
    /// The entry's clock when it sent the ping, returned in the pong.
    pub sent: Wall,
    /// The entry's membership version.
    pub view: u64,
    /// The log offset up to which the entry's state reaches.
    pub next: u64,
}

/// An agent's answer to a ping.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pong {
    /// `sent` of the ping.
    pub sent: Wall,
    /// The agent's membership version.
    pub view: u64,
    /// The log offset up to which the agent's state reaches.
    pub next: u64,
    /// How long ago the agent adopted that version, in milliseconds.
    pub adopted_ms: u64,
    /// The agent's load.
    pub load: LoadReport,
    /// Whether the agent is leaving and takes no new work.
    pub leaving: bool,
}

/// Tasks of one job to start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// The job.
    pub job: Job,
    /// Hash over the submission's tasks.
    pub digest: u64,
    /// The attempt under which they are started.
    pub ballot: Ballot,
    /// The job's keeper, if it is exempt from gathers.
    pub keeper: Option<Process>,
    /// The membership version at which the attempt was granted or gathered.
    pub view: u64,
    /// The wall-clock time after which the start is void.
    pub start_by: Wall,
    /// The kind of the request, passed on to the worker.
    pub kind: Name,
    /// Milliseconds that a task may take at the worker.
    pub limit_ms: u64,
    /// The tasks.
    pub tasks: Vec<Item>,
}

/// One task in a [`Run`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// The task.
    pub task: Task,
    /// The number of its placement under the ballot.
    pub placement: u32,
    /// How late the task is when the frame is written, in milliseconds.
    pub lateness: i32,
    /// Whether it may wait at the agent for a slot.
    pub may_wait: bool,
    /// The caller's payload, raw JSON.
    #[serde(with = "serde_bytes")]
    pub payload: Vec<u8>,
}

impl Run {
    /// What the agent's ledger decides on for `item`.
    #[must_use]
    pub fn start(&self, item: &Item) -> Start {
        Start {
            job: self.job,
            digest: self.digest,
            ballot: self.ballot.clone(),
            keeper: self.keeper.clone(),
            view: self.view,
            task: item.task,
            placement: item.placement,
            start_by: self.start_by,
        }
    }
}

/// The outcome of a task, matched by job, attempt and task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ended {
    /// The job.
    pub job: Job,
    /// The attempt that is told.
    pub ballot: Ballot,
    /// The task.
    pub task: Task,
    /// What it came to.
    pub outcome: Outcome,
    /// The time from start to end at the worker, in milliseconds.
    pub ran_ms: u64,
    /// The agent's load, if the outcome goes to the entry that held the slot.
    pub load: Option<LoadReport>,
}

/// A start that started nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rejected {
    /// The job.
    pub job: Job,
    /// The attempt of the start.
    pub ballot: Ballot,
    /// The task.
    pub task: Task,
    /// The placement that was rejected.
    pub placement: u32,
    /// Why.
    pub reject: Reject,
    /// The agent's load.
    pub load: LoadReport,
}

/// A keeper's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answered {
    /// The job asked about.
    pub job: Job,
    /// The attempt that asked.
    pub ballot: Ballot,
    /// The view that the ask carried.
    pub view: u64,
    /// The answer.
    pub answer: ClaimReply,
    /// Where the owner that the answer names takes links, if the keeper is linked to it.
    pub owner: Option<Name>,
}

/// Whom a keeper knows as a job's owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Found {
    /// The job.
    pub job: Job,
    /// The owner, if any.
    pub owner: Option<Process>,
    /// Where the owner takes links, if the keeper is linked to it.
    pub address: Option<Name>,
}

/// An agent's answer to a fence.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reported {
    /// The job.
    pub job: Job,
    /// The attempt of the fence.
    pub ballot: Ballot,
    /// The report, or why the fence did not take effect.
    pub report: Result<FenceReport, Reject>,
    /// Where the highest attempt's entry takes links, if the agent is linked to it.
    pub owner: Option<Name>,
}

/// A job's final answer, from its owner to an entry that attached to it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Whole {
    /// The job.
    pub job: Job,
    /// Whether the sender owns the job or has its answer.
    pub owned: bool,
    /// The final answer in the entries' own encoding, once there is one.
    #[serde(with = "serde_bytes")]
    pub answer: Option<Vec<u8>>,
}

/// What a leaving agent passes on to another one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandOver {
    /// Claims that the receiver keeps from now on.
    pub claims: Vec<ClaimRecord>,
    /// What the ledger knew.
    pub kept: Vec<LedgerRecord>,
    /// Jobs issued up to then may have run there and been forgotten.
    pub floor: Wall,
}

/// Whether a hand-over was taken; not by an agent that is about to leave itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TakenOver {
    /// Whether it was.
    pub accepted: bool,
}
