//! What a record did to the state.

use crate::edit;
use cassiarock_id::Name;

/// The effect of one record, the same in every process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The state changed.
    Accepted,
    /// The state stayed as it was, because the record no longer fits it.
    Rejected(Reason),
    /// The record asks for nothing new: a duplicate, a snapshot, or of an unknown kind.
    Ignored,
}

/// Why a record was rejected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Reason {
    /// Another change came first; look at the difference and publish again on top of it.
    #[error("based on version {based_on}, but {by} published version {version}")]
    Conflict {
        /// The version that the record was based on.
        based_on: u64,
        /// The current version.
        version: u64,
        /// Who published the current version.
        by: Name,
    },
    /// An edit does not fit the rules it was based on; correct it.
    #[error("edit {position} does not fit: {error}")]
    Edit {
        /// Which edit of the record, from 0.
        position: usize,
        /// What is wrong with it.
        error: edit::Error,
    },
    /// The rules or the configuration cannot be right; correct each of the problems. Found
    /// before anything is appended.
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
    /// The process was superseded by a later incarnation or has left; it must not act any
    /// more, and comes back only as a new incarnation.
    #[error("the process has left or was replaced")]
    Departed,
    /// Too many agents were removed by others within a minute, so the watcher is in doubt;
    /// look whether the agents can be reached, and remove the rest later.
    #[error("{removed} agents were removed within a minute, {members} are left")]
    RemovalLimit {
        /// How many were removed.
        removed: usize,
        /// How many are left.
        members: usize,
    },
    /// No member has this name; look at the current membership.
    #[error("no agent is named {0}")]
    UnknownAgent(Name),
    /// Too much of the pool would be leaving; wait for others to return, or order it with force.
    #[error("{leaving} of {members} agents of pool {pool} would be leaving")]
    DrainLimit {
        /// The pool.
        pool: Name,
        /// How many of its agents would be leaving.
        leaving: usize,
        /// How many agents it has.
        members: usize,
    },
}
