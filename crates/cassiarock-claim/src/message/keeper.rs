//! Between an entry and the keeper of a job.

use crate::Ballot;
use cassiarock_id::Job;
use serde::{Deserialize, Serialize};

/// What an entry asks the keeper of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRequest {
    /// The job.
    pub job: Job,
    /// Hash over the submission's tasks: a resubmission must be the same job.
    pub digest: u64,
    /// What is asked.
    pub purpose: Purpose,
    /// The membership version by which the entry chose this keeper.
    pub view: u64,
    /// Whether no other keeper can have granted the job, by the entry's knowledge
    /// (`view::JobScope::sole_keeper`).
    #[serde(rename = "native")]
    pub sole_keeper: bool,
    /// The attempt that the entry would own or owns; the keeper chooses the round.
    pub ballot: Ballot,
}

/// Why an entry asks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Purpose {
    /// To own the job and start its tasks.
    Claim,
    /// To own a job whose owner, with the given round, is out of reach.
    TakeOver {
        /// The round of the owner to be replaced.
        over: u32,
    },
    /// To close the job before anything of it started: a truthful "not run".
    Refuse,
}

/// The keeper's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The entry owns the job under this ballot and may start tasks at once.
    Granted(Ballot),
    /// The entry must fence every agent under this ballot (or a higher one that the
    /// reports make it choose) before it starts anything.
    Gather(Ballot),
    /// Another entry owns the job; attach to it there.
    Owned(Ballot),
    /// The job is closed here: the keeper grants it to nobody. It is a truthful "not
    /// run" once a witness has closed it too (`Fence::close`), as this keeper may die.
    Closed,
    /// The id is in use for a job with other tasks.
    Mismatch,
    /// The id is older than what the keeper still remembers.
    Forgotten,
    /// The keeper has another membership version than the entry; the one behind reads up.
    View(u64),
}

/// What a keeper remembers of one job, and hands over when it leaves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The job.
    pub job: Job,
    /// Hash over the submission's tasks.
    pub digest: u64,
    /// The attempt that owns the job.
    pub owner: Ballot,
    /// Whether it is closed as "refused, not run".
    pub closed: bool,
}
