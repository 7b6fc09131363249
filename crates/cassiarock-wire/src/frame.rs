//! The message type of all links between processes.

use crate::{
    Answered, Ended, FinalAnswer, Found, HandOver, Hello, Ping, Pong, Rejected, Reported, Run,
    TakenOver,
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
    /// Handshake: identity and proof of the shared key.
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
    /// Agent to entry: a task was not started.
    Rejected(Rejected),
    /// Entry to agent: cancel a placement.
    Cancel(Cancel),
    /// Entry to keeper: requests the claim on a job.
    Ask(ClaimRequest),
    /// Keeper to entry: the reply to `Ask`.
    Answered(Answered),
    /// Entry to agent: fence and report.
    Fence(Fence),
    /// Agent to entry: the fence's effect.
    Reported(Box<Reported>),
    /// Entry to keeper: asks for the owner of a job.
    Find(Job),
    /// Keeper to entry: the reply to `Find`.
    Found(Found),
    /// Entry to owner: asks for the job's final answer.
    Attach {
        /// The job.
        job: Job,
        /// The attempt that the receiver should hold; any if absent.
        ballot: Option<Ballot>,
        /// Whether a caller has cancelled it.
        cancel: bool,
    },
    /// Owner to entry: the reply to `Attach`.
    #[serde(rename = "Whole")]
    FinalAnswer(FinalAnswer),
    /// Entry to agent: its demand for slots.
    Demand(SlotDemand),
    /// Agent to entry: slots promised to the receiver.
    Grant(LoadReport),
    /// Agent to entry: the sender is leaving and accepts no new work.
    Leaving,
    /// Agent to entry: the entries linked to the sender and the addresses at which they listen.
    Entries(Vec<(Process, Name)>),
    /// Entry to entry: each team's use of each pool, as the sender has counted it.
    #[serde(rename = "News")]
    UsageUpdates(Vec<(Name, Vec<Usage>)>),
    /// Asks a peer that has a newer state to send it.
    AskState,
    /// The log's state as the sender knows it, for a peer that may be cut off from the log.
    State(Arc<State>),
    /// Leaving agent to another agent: its claims and ledger.
    HandOver(HandOver),
    /// The reply to `HandOver`.
    TakenOver(TakenOver),
    /// A message about transient jobs, which are answered when they end and never stored.
    Transient(Message),
}

impl Frame {
    /// The value of the `kind` label in metrics.
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
            Self::FinalAnswer(_) => "whole",
            Self::Demand(_) => "demand",
            Self::Grant(_) => "grant",
            Self::Leaving => "leaving",
            Self::AskState => "ask_state",
            Self::State(_) => "state",
            Self::Entries(_) => "entries",
            Self::UsageUpdates(_) => "news",
            Self::HandOver(_) => "hand_over",
            Self::TakenOver(_) => "taken_over",
            Self::Transient(_) => "transient",
        }
    }
}
