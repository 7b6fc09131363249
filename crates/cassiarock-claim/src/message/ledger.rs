//! Messages between an entry and the agents that start tasks.

use crate::Ballot;
use cassiarock_id::{Job, Process, Task, Wall};
use serde::{Deserialize, Serialize};

/// The head of a start message; the payloads travel beside it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// The job.
    pub job: Job,
    /// Hash over the submission's tasks.
    pub digest: u64,
    /// The attempt under which the task is started.
    pub ballot: Ballot,
    /// The job's keeper in the entry's view, if a view of the job's lifetime exempts it
    /// from gathers: it may not run the job's tasks.
    pub keeper: Option<Process>,
    /// The membership version at which the attempt was granted or gathered.
    pub view: u64,
    /// The task.
    pub task: Task,
    /// The number of the task's placement under this ballot, from 1. A repeated message
    /// carries the same number, a new placement after a reject the next one.
    pub placement: u32,
    /// The wall-clock time after which the start is no longer valid.
    pub start_by: Wall,
}

/// Withdraws one placement of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cancel {
    /// The job.
    pub job: Job,
    /// Hash over the submission's tasks.
    pub digest: u64,
    /// The attempt under which the task was placed.
    pub ballot: Ballot,
    /// The task.
    pub task: Task,
    /// The placement that is withdrawn.
    pub placement: u32,
}

/// Asks an agent to reject all lower attempts from now on and to report what it started.
/// Repeating it changes nothing and reports the current state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fence {
    /// The job.
    pub job: Job,
    /// Hash over the submission's tasks.
    pub digest: u64,
    /// The attempt below which nothing may start any more.
    pub ballot: Ballot,
    /// The membership version by which the entry chose the agents to be fenced.
    pub view: u64,
    /// Whether to close the job at this agent, so that nothing more of it starts. The agent
    /// does so only if no task of the job waits or runs there, and if it does not know the
    /// job or this attempt is the highest one that it has seen.
    pub close: bool,
}

/// Why an agent did not start a task or did not fence a job. Every reason except `Fenced`
/// and `Forgotten` proves that the start message that it answers has started nothing and
/// never will.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reject {
    /// A higher attempt has fenced this one; its owner continues the job.
    Fenced(Ballot),
    /// The id is in use here for a job with other tasks.
    Mismatch,
    /// The job is closed: nothing more of it starts here.
    Closed,
    /// The start message arrived after its `start_by`.
    Expired,
    /// The job was issued too long ago: the ledger may have evicted it. It may have run
    /// here.
    Forgotten,
    /// The agent is the job's keeper and therefore runs none of its tasks.
    Keeper,
    /// The agent's membership version is higher: the entry must catch up first.
    View(u64),
    /// The agent is leaving.
    Leaving,
    /// No slot and no place in the queue is free.
    Full,
    /// The task was cancelled before it began here.
    Cancelled,
}

/// How one task ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The worker's complete answer.
    Done(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The worker reported that the task failed.
    Failed(String),
    /// The task was started, and how it ended is unknown.
    Lost(String),
}

impl Outcome {
    /// The length in bytes of the answer or text.
    ///
    /// ```
    /// use cassiarock_claim::message::Outcome;
    /// assert_eq!(Outcome::Done(vec![1, 2, 3]).bytes(), 3);
    /// ```
    #[must_use]
    pub const fn bytes(&self) -> usize {
        match self {
            Self::Done(bytes) => bytes.len(),
            Self::Failed(text) | Self::Lost(text) => text.len(),
        }
    }
}

/// The state of a task as a fence report gives it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskState {
    /// Begun, or waiting here under the fencing attempt or a higher one.
    Running,
    /// Ended.
    Ended(Outcome),
}

/// An agent's answer to a fence: from now on it rejects every attempt below `ballot`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceReport {
    /// The job.
    pub job: Job,
    /// The highest attempt that the agent has seen; the fence's own if it took effect.
    pub ballot: Ballot,
    /// The agent's membership version.
    pub view: u64,
    /// Whether the job is closed here.
    pub closed: bool,
    /// Every task of the job that was started here, or that a leaving agent handed over.
    pub tasks: Vec<(Task, TaskState)>,
}

/// What a leaving agent's ledger hands over about one job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerRecord {
    /// The job.
    pub job: Job,
    /// Hash over the submission's tasks.
    pub digest: u64,
    /// The highest attempt seen.
    pub fence: Ballot,
    /// The highest membership version under which the job was fenced.
    pub view: u64,
    /// Whether the job is closed.
    pub closed: bool,
    /// The tasks that were started, each with its outcome.
    pub tasks: Vec<(Task, Outcome)>,
}
