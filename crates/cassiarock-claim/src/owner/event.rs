//! What an owner is told and what it wants done.

use crate::Ballot;
use crate::message::{
    Cancel, ClaimReply, ClaimRequest, Fence, FenceReport, Outcome, Reject, Start,
};
use cassiarock_id::{Process, Task};

/// Something that happened to the job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The submission was admitted; the first event of an owner.
    Submitted,
    /// The submission was not admitted, or is cancelled, or its time is over: nothing
    /// more is to be started, and the answer must say truthfully what ran.
    Cancelled,
    /// The hard deadline: answer with what is known now.
    Expired,
    /// Time to repeat what has not been answered. Repeating is always safe.
    Retry,
    /// The entry adopted a view.
    ViewChanged,
    /// The keeper's answer to this attempt's ask.
    ClaimReply {
        /// The view that the ask carried.
        view: u64,
        /// What was answered.
        reply: ClaimReply,
    },
    /// An agent's answer to this attempt's fence.
    Report {
        /// Who reports.
        agent: Process,
        /// What it knows.
        report: FenceReport,
    },
    /// An agent did not accept this attempt's fence.
    FenceRejected {
        /// Who answers.
        agent: Process,
        /// Why.
        reject: Reject,
    },
    /// A start or a cancelled placement that started nothing.
    Rejected {
        /// The attempt of the start.
        ballot: Ballot,
        /// The task.
        task: Task,
        /// The start's placement number; 0 if an earlier attempt had placed the task.
        placement: u32,
        /// Why.
        reject: Reject,
    },
    /// A task's end, whichever attempt started it.
    Ended {
        /// The attempt that is told.
        ballot: Ballot,
        /// The task.
        task: Task,
        /// What it came to.
        outcome: Outcome,
    },
    /// An agent is out of reach; tasks placed there are unknown until it answers again.
    AgentUnreachable(Process),
    /// That same incarnation can be reached again.
    AgentReachable(Process),
    /// The owner to which this one attached is out of reach or does not own the job.
    OwnerLost,
}

/// Something to be done for the job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send to the keeper.
    RequestClaim {
        /// The keeper.
        keeper: Process,
        /// The question.
        request: ClaimRequest,
    },
    /// Send to an agent.
    Fence {
        /// The agent.
        agent: Process,
        /// The fence.
        fence: Fence,
    },
    /// Send a start again, with its payload.
    Start {
        /// The agent.
        agent: Process,
        /// The head of the message.
        start: Start,
    },
    /// Send to an agent.
    Cancel {
        /// The agent.
        agent: Process,
        /// The cancellation.
        cancel: Cancel,
    },
    /// Tasks may be placed: see `Owner::startable_tasks`.
    Place,
    /// Another attempt owns the job: get the answer from its entry, or report
    /// `Event::OwnerLost`, also if that entry says that it does not hold the attempt
    /// (`Owner::holds`).
    Attach(Ballot),
    /// The job has its final answer. Nothing follows.
    Finish(JobOutcome),
}

/// A job's final answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobOutcome {
    /// Every task ended; the outcomes in the order of the tasks.
    Complete(Vec<Outcome>),
    /// The job failed and may have run.
    Failed {
        /// Why.
        reason: FailureReason,
        /// What is known of each task, in order.
        outcomes: Vec<Option<Outcome>>,
    },
    /// Nothing of the job has run or ever will.
    Refused,
    /// The id is in use for a job with other tasks. Nothing of this submission ran.
    Mismatch,
}

/// Why a job failed though it may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureReason {
    /// It was cancelled after a task had started.
    Cancelled,
    /// A task was started and its end can't be known any more.
    Lost,
    /// An agent that may have run tasks of it has ended with its ledger.
    Unprovable,
    /// It was issued before the oldest job that is remembered.
    Forgotten,
    /// The id is in use for a job with other tasks, which was found after a start.
    Mismatch,
    /// The hard deadline came first.
    Expired,
}
