//! The one type that travels on a link.

use crate::{
    Answered, Ended, Found, HandOver, Hello, Ping, Pong, Rejected, Reported, Run, TakenOver, Whole,
};
use cassiarock_claim::Ballot;
use cassiarock_claim::message::{Cancel, ClaimRequest, Fence};
use cassiarock_id::{Job, Name, Process};
use cassiarock_policy::admission::Usage;
use cassiarock_policy::load::{LoadReport, SlotDemand};
use cassiarock_rule::State;
use cassiarock_transient::Message;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A message between two processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Opens a link.
    Hello(Hello),
    /// Entry to agent or entry: heartbeat.
    Ping(Ping),
    /// Answer to a ping.
    Pong(Pong),
    /// Entry to agent: start these tasks.
    Run {
        /// The tasks by job.
        runs: Vec<Run>,
        /// The entry's demand for slots.
        ask: SlotDemand,
    },
    /// Agent to entry: how a task ended.
    Ended(Ended),
    /// Agent to entry: a start that started nothing.
    Rejected(Rejected),
    /// Entry to agent: take back a placement.
    Cancel(Cancel),
    /// Entry to keeper.
    Ask(ClaimRequest),
    /// Keeper to entry.
    Answered(Answered),
    /// Entry to agent: fence and report.
    Fence(Fence),
    /// Agent to entry: the fence's effect.
    Reported(Box<Reported>),
    /// Entry to keeper: who owns this job?
    Find(Job),
    /// Keeper to entry.
    Found(Found),
    /// Entry to owner: send me the job's final answer.
    Attach {
        /// The job.
        job: Job,
        /// The attempt that the receiver should hold; any if absent.
        ballot: Option<Ballot>,
        /// Whether a caller has cancelled it.
        cancel: bool,
    },
    /// Owner to entry.
    Whole(Whole),
    /// Entry to agent: its demand for slots.
    Demand(SlotDemand),
    /// Agent to entry: slots promised to the receiver.
    Grant(LoadReport),
    /// Agent to entry: it takes no new work.
    Leaving,
    /// Agent to entry: the entries linked to it, with where they take links.
    Entries(Vec<(Process, Name)>),
    /// Entry to entry: what its teams have used of each pool.
    News(Vec<(Name, Vec<Usage>)>),
    /// To a peer that knows a newer state: send it to me.
    AskState,
    /// The log's state as the sender knows it, for a peer that may be cut off from the log.
    State(Arc<State>),
    /// Leaving agent to another one.
    HandOver(HandOver),
    /// The other one's receipt.
    TakenOver(TakenOver),
    /// About jobs that are answered at their end and stored nowhere.
    Transient(Message),
}

impl Frame {
    /// The label of its kind in metrics.
    ///
    /// ```
    /// assert_eq!(cassiarock_wire::Frame::Leaving.kind(), "leaving");
    /// ```
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Ping(_) => "ping",
            Self::Pong(_) => "pong",
            Self::Run { .. } => "run",
            Self::Ended(_) => "ended",
            Self::Rejected(_) => "rejected",
            Self::Cancel(_) => "cancel",
            Self::Ask(_) => "ask",
            Self::Answered(_) => "answered",
            Self::Fence(_) => "fence",
            Self::Reported(_) => "reported",
            Self::Find(_) => "find",
            Self::Found(_) => "found",
            Self::Attach { .. } => "attach",
            Self::Whole(_) => "whole",
            Self::Demand(_) => "demand",
            Self::Grant(_) => "grant",
            Self::Leaving => "leaving",
            Self::AskState => "ask_state",
            Self::State(_) => "state",
            Self::Entries(_) => "entries",
            Self::News(_) => "news",
            Self::HandOver(_) => "hand_over",
            Self::TakenOver(_) => "taken_over",
            Self::Transient(_) => "transient",
        }
    }
}
