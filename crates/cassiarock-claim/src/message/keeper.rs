//! Messages between an entry and the keeper of a job.

use crate::Ballot;
use cassiarock_id::Job;
use serde::{Deserialize, Serialize};

/// A request by an entry to the keeper of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRequest {
    /// The job.
    pub job: Job,
    /// Hash over the submission's tasks; every submission of one job must have the same.
    pub digest: u64,
    /// What the entry wants to do with the job.
    pub purpose: Purpose,
    /// The membership version by which the entry chose this keeper.
    pub view: u64,
    /// Whether, as far as the entry knows, no other keeper can have granted the job
    /// (`view::JobScope::sole_keeper`).
    #[serde(rename = "native")]
    pub sole_keeper: bool,
    /// The attempt under which the entry owns the job or would own it; the keeper chooses
    /// the round.
    pub ballot: Ballot,
}

/// What an entry wants to do with a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Purpose {
    /// Own the job and start its tasks.
    Claim,
    /// Own a job whose present owner is unreachable.
    TakeOver {
        /// The round of the owner to be replaced.
        over: u32,
    },
    /// Close the job before any of its tasks has started, so that it can be answered as
    /// not run.
    Refuse,
}

/// A keeper's reply to a claim request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The entry owns the job under this ballot and may start tasks at once.
    Granted(Ballot),
    /// The entry must fence every agent under this ballot, or under a higher one that the
    /// reports require, before it starts anything.
    Gather(Ballot),
    /// Another attempt owns the job; attach to it at its entry.
    Owned(Ballot),
    /// The job is closed here: the keeper grants it to nobody. The job may be answered as
    /// not run only once a witness has closed it too (`Fence::close`), because this keeper
    /// may die.
    Closed,
    /// The id is in use for a job with other tasks.
    Mismatch,
    /// The id is too old: the keeper may have evicted the job's claim.
    Forgotten,
    /// The keeper holds another membership version than the entry; the one that lags
    /// behind must catch up.
    View(u64),
}

/// A keeper's record of one job, which it hands over when it leaves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The job.
    pub job: Job,
    /// Hash over the submission's tasks.
    pub digest: u64,
    /// The attempt that owns the job.
    pub owner: Ballot,
    /// Whether the job is closed as refused and not run.
    pub closed: bool,
}
