//! The effect of a record on the state.

use crate::edit;
use cassiarock_id::Name;

/// The effect of one record, identical in every process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The state changed.
    Accepted,
    /// The state is unchanged, because the record does not apply to it.
    Rejected(Reason),
    /// The record changes nothing: it is a duplicate, a snapshot, or unreadable.
    Ignored,
}

/// Why a record was rejected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Reason {
    /// Another change came first; look at the difference and publish again based on the new
    /// version.
    #[error("based on version {based_on}, but {by} published version {version}")]
    Conflict {
        /// The version that the record was based on.
        based_on: u64,
        /// The current version.
        version: u64,
        /// The operator who published the current version.
        by: Name,
    },
    /// An edit cannot be applied to the rules it is based on; correct it.
    #[error("edit {position} does not fit: {error}")]
    Edit {
        /// The index of the edit in the record, from 0.
        position: usize,
        /// Why it cannot be applied.
        error: edit::Error,
    },
    /// The rules or the configuration are invalid; correct each of the problems. This is checked
    /// before the record is appended.
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
    /// The process has left or was replaced by a later incarnation; it must not act any more,
    /// and can rejoin only as a new incarnation.
    #[error("the process has left or was replaced")]
    Departed,
    /// Other processes removed too many agents within a minute, so the observer may be at fault;
    /// check whether the agents are reachable, and remove the others later.
    #[error("{removed} agents were removed within a minute, {members} are left")]
    RemovalLimit {
        /// The number of removed agents.
        removed: usize,
        /// The number of remaining agents.
        members: usize,
    },
    /// No member has this name; check the current membership.
    #[error("no agent is named {0}")]
    UnknownAgent(Name),
    /// Too many agents of the pool would be leaving; wait for others to return, or force it.
    #[error("{leaving} of {members} agents of pool {pool} would be leaving")]
    DrainLimit {
        /// The pool.
        pool: Name,
        /// The number of its agents that would be leaving.
        leaving: usize,
        /// The number of its agents.
        members: usize,
    },
}
