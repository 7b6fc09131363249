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
    #[serde(rename = "next")]
    pub next_offset: u64,
}

/// An agent's answer to a ping.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pong {
    /// `sent` of the ping.
    pub sent: Wall,
    /// The agent's membership version.
    pub view: u64,
    /// The log offset up to which the agent's state reaches.
    #[serde(rename = "next")]
    pub next_offset: u64,
    /// How long ago the agent adopted `view`, in milliseconds.
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
    /// The hash of the submission's tasks.
    pub digest: u64,
    /// The attempt under which they are started.
    pub ballot: Ballot,
    /// The job's keeper, if it is exempt from gathers.
    pub keeper: Option<Process>,
    /// The membership version at which the attempt was granted or gathered.
    pub view: u64,
    /// The wall-clock time after which the tasks may no longer be started.
    pub start_by: Wall,
    /// The kind of the request, passed on to the upstream.
    pub kind: Name,
    /// The time limit of a task at the upstream, in milliseconds.
    pub limit_ms: u64,
    /// The tasks.
    pub tasks: Vec<TaskStart>,
}

/// One task in a [`Run`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskStart {
    /// The task.
    pub task: Task,
    /// The number of its placement under the ballot.
    pub placement: u32,
    /// How late the task is when the frame is written, in milliseconds.
    pub lateness: i32,
    /// Whether the task may wait at the agent for a slot.
    pub may_wait: bool,
    /// The caller's payload, raw JSON.
    #[serde(with = "serde_bytes")]
    pub payload: Vec<u8>,
}

impl Run {
    /// The start of `item` as the agent's ledger takes it.
    #[must_use]
    pub fn start(&self, item: &TaskStart) -> Start {
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
    /// The attempt that is notified.
    pub ballot: Ballot,
    /// The task.
    pub task: Task,
    /// The outcome.
    pub outcome: Outcome,
    /// The run time at the upstream, in milliseconds.
    pub ran_ms: u64,
    /// The agent's load, if the outcome goes to the entry that held the slot.
    pub load: Option<LoadReport>,
}

/// A task that the agent did not start.
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
    /// Why it was rejected.
    pub reject: Reject,
    /// The agent's load.
    pub load: LoadReport,
}

/// A keeper's reply to a claim request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answered {
    /// The job.
    pub job: Job,
    /// The attempt that sent the request.
    pub ballot: Ballot,
    /// The membership version of the request.
    pub view: u64,
    /// The reply.
    pub answer: ClaimReply,
    /// The address of the owner that the reply names, if the keeper is linked to it.
    pub owner: Option<Name>,
}

/// The owner of a job as a keeper knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Found {
    /// The job.
    pub job: Job,
    /// The owner, if any.
    pub owner: Option<Process>,
    /// The owner's address, if the keeper is linked to it.
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
    /// The address of the highest attempt's entry, if the agent is linked to it.
    pub owner: Option<Name>,
}

/// A job's final answer, from its owner to an entry that attached to it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FinalAnswer {
    /// The job.
    pub job: Job,
    /// Whether the sender owns the job or has its answer.
    pub owned: bool,
    /// The final answer in the entries' internal encoding, absent until the job has ended.
    #[serde(with = "serde_bytes")]
    pub answer: Option<Vec<u8>>,
}

/// The state that a leaving agent hands over to another agent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandOver {
    /// Claims that the receiver keeps from now on.
    pub claims: Vec<ClaimRecord>,
    /// The records of the sender's ledger.
    pub kept: Vec<LedgerRecord>,
    /// The sender may have run jobs issued up to this time and dropped their records.
    pub floor: Wall,
}

/// The reply to a hand-over. An agent that is itself about to leave refuses it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TakenOver {
    /// Whether the hand-over was accepted.
    pub accepted: bool,
}
