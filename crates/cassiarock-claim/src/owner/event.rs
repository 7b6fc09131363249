//! An owner's inputs (events) and outputs (actions).

use crate::Ballot;
use crate::message::{
    Cancel, ClaimReply, ClaimRequest, Fence, FenceReport, Outcome, Reject, Start,
};
use cassiarock_id::{Process, Task};

/// Something that an owner must react to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The job was submitted. If it was not admitted, [`Event::Cancelled`] comes first.
    Submitted,
    /// The submission was not admitted, was cancelled or ran out of time: nothing more may
    /// start, and the answer must say which tasks ran.
    Cancelled,
    /// The final deadline has passed: answer with what is known now.
    Expired,
    /// Time to repeat the messages that have not been answered. Repeating is always safe.
    Retry,
    /// The entry adopted a view.
    ViewChanged,
    /// The keeper's reply to a claim request of this owner.
    ClaimReply {
        /// The membership version that the request carried.
        view: u64,
        /// The reply.
        reply: ClaimReply,
    },
    /// An agent's answer to this attempt's fence.
    Report {
        /// The agent that reports.
        agent: Process,
        /// Its report.
        report: FenceReport,
    },
    /// An agent did not accept this attempt's fence.
    FenceRejected {
        /// The agent that answered.
        agent: Process,
        /// Why it did not fence the job.
        reject: Reject,
    },
    /// A start that was rejected, or a placement that was cancelled before it began.
    Rejected {
        /// The attempt of the start.
        ballot: Ballot,
        /// The task.
        task: Task,
        /// The start's placement number; 0 if an earlier attempt had placed the task.
        placement: u32,
        /// Why the task was not started.
        reject: Reject,
    },
    /// A task ended, whichever attempt started it.
    Ended {
        /// The attempt to which the outcome was sent.
        ballot: Ballot,
        /// The task.
        task: Task,
        /// How the task ended.
        outcome: Outcome,
    },
    /// An agent is unreachable; the state of tasks placed there is unknown until it answers
    /// again.
    AgentUnreachable(Process),
    /// The same incarnation of the agent is reachable again.
    AgentReachable(Process),
    /// The owner to which this one attached is unreachable or does not own the job.
    OwnerLost,
}

/// Something that the caller of [`Owner::step`](super::Owner::step) must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a claim request to the keeper.
    RequestClaim {
        /// The keeper.
        keeper: Process,
        /// The request.
        request: ClaimRequest,
    },
    /// Send a fence to an agent.
    Fence {
        /// The agent.
        agent: Process,
        /// The fence.
        fence: Fence,
    },
    /// Send a start message again, with its payload.
    Start {
        /// The agent.
        agent: Process,
        /// The message without its payload.
        start: Start,
    },
    /// Send a cancellation to an agent.
    Cancel {
        /// The agent.
        agent: Process,
        /// The cancellation.
        cancel: Cancel,
    },
    /// Place the tasks of `Owner::startable_tasks`.
    Place,
    /// Another attempt owns the job: get the answer from its entry. Report
    /// [`Event::OwnerLost`] if that entry is unreachable or says that it does not hold the
    /// attempt (`Owner::holds`).
    Attach(Ballot),
    /// The job has its final result; no further action follows.
    Finish(JobOutcome),
}

/// The final result of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobOutcome {
    /// Every task ended with a known outcome; the outcomes are in the order of the tasks.
    Complete(Vec<Outcome>),
    /// The job failed, and tasks of it may have run.
    Failed {
        /// Why it failed.
        reason: FailureReason,
        /// What is known of each task, in order.
        outcomes: Vec<Option<Outcome>>,
    },
    /// No task of the job has run or ever will.
    Refused,
    /// The id is in use for a job with other tasks. No task of this submission ran.
    Mismatch,
}

/// Why a job failed although tasks of it may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureReason {
    /// The job was cancelled after a task had started.
    Cancelled,
    /// A task was started, and how it ended can no longer be known.
    Lost,
    /// An agent that may have run tasks of the job has ended, and its ledger is lost.
    Unprovable,
    /// The job was issued too long ago: its records may have been evicted.
    Forgotten,
    /// The id is in use for a job with other tasks, which was found out only after a start.
    Mismatch,
    /// The final deadline passed first.
    Expired,
}
