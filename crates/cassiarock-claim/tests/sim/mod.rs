//! Entries, agents and keepers on a network that loses, doubles, delays and reorders, and
//! a check of the promises after every step.

mod agent;
mod entry;
mod heal;
mod membership;
mod net;
mod step;
mod truth;
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

pub use step::{Step, search};
pub use truth::Truth;
pub use world::World;

pub const LEASE: Duration = Duration::from_secs(2);
pub const MARGIN: Duration = Duration::from_millis(200);
pub const KEPT: Duration = Duration::from_secs(60);
/// Clocks differ from true time by at most this.
pub const SKEW: u64 = 50;
/// Tasks per job: few, so that steps meet.
pub const TASKS: u16 = 2;

/// Memory for about two jobs, so that jobs are forgotten; and for all of them.
pub const TIGHT: usize = 1_200;
pub const AMPLE: usize = 1 << 20;

/// One version of the membership, as the log holds it.
#[derive(Clone, Debug)]
pub struct Version {
    pub view: View,
    /// The member that announced its own end by this version.
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
    Whole(Job, Option<JobOutcome>),
}

/// A process's clock: true time, off by its skew.
pub fn clock(time: u64, skew: u64) -> Wall {
    Wall::from_millis(time - SKEW + skew)
}
