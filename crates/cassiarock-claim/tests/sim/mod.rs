//! A simulation of entries and agents on a network that loses, duplicates, delays and
//! reorders messages, with a check of the protocol's guarantees after every step.

mod agent;
mod entry;
mod heal;
mod membership;
mod net;
mod oracle;
mod step;
mod world;

use crate::claim::Ballot;
use crate::claim::message::{
    Cancel, ClaimRecord, ClaimReply, ClaimRequest, Fence, FenceReport, LedgerRecord, Outcome,
    Reject, Start,
};
use crate::claim::owner::JobOutcome;
use crate::claim::view::View;
use cassiarock_id::{Job, Process, Task, Wall};
use std::time::Duration;

pub use oracle::Oracle;
pub use step::{Step, search};
pub use world::World;

pub const LEASE: Duration = Duration::from_secs(2);
pub const MARGIN: Duration = Duration::from_millis(200);
pub const RETENTION: Duration = Duration::from_secs(60);
/// Clocks differ from true time by at most this many milliseconds.
pub const MAX_SKEW_MS: u64 = 50;
/// Tasks per job; few, so that steps often concern the same task.
pub const TASKS_PER_JOB: u16 = 2;

/// Bytes for about two jobs, so that jobs are evicted.
pub const SMALL_MEMORY: usize = 1_200;
/// Bytes for all jobs.
pub const LARGE_MEMORY: usize = 1 << 20;

/// One version of the membership, as the log holds it.
#[derive(Clone, Debug)]
pub struct Version {
    pub view: View,
    /// The member that announced its own departure in this version.
    pub retired: Option<Process>,
}

#[derive(Clone, Debug)]
pub struct Message {
    pub from: Process,
    pub to: Process,
    pub body: Body,
}

#[derive(Clone, Debug)]
pub enum Body {
    Ping(Wall),
    Pong(u64, Duration, Wall),
    Ask(ClaimRequest),
    Answer(Job, Ballot, u64, ClaimReply),
    Fence(Fence),
    Report(FenceReport),
    Unfenced(Job, Ballot, Reject),
    Start(Start),
    Rejected(Job, Ballot, Task, u32, Reject),
    Ended(Job, Ballot, Task, Outcome),
    Cancel(Cancel),
    HandOver(Vec<ClaimRecord>, Vec<LedgerRecord>, Wall),
    TakenOver(bool),
    Attach(Job, Ballot),
    FinalResult(Job, Option<JobOutcome>),
}

/// The clock of a process, which differs from true time by `skew` less [`MAX_SKEW_MS`].
pub fn clock(time: u64, skew: u64) -> Wall {
    Wall::from_millis(time - MAX_SKEW_MS + skew)
}
