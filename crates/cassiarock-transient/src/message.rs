//! What entries and agents tell each other about transient jobs.

use crate::{Incarnation, Resources, directory, evacuation};
use cassiarock_id::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// One attempt at one task, by the entry's own number of the job: a job that is submitted
/// again has another number, so that late news of the first cannot be taken for the second's.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Attempt {
    /// The entry's number of the job.
    pub number: u64,
    /// The stage.
    pub stage: u32,
    /// The task within its stage.
    pub index: u32,
    /// The number of the task's start; it rises from start to start.
    pub attempt: u32,
}

/// A task to start.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// The stage.
    pub stage: u32,
    /// The task within its stage.
    pub index: u32,
    /// The number of the task's start.
    pub attempt: u32,
    /// What it takes.
    pub demand: Resources,
    /// How long it should run.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub expected: Duration,
    /// The agent whose upstream was lost with it and with others that may have crashed it: no two
    /// of them are to run together.
    #[serde(default)]
    pub suspect: Option<Name>,
}

impl Start {
    /// The attempt of the job with this number that it starts.
    #[must_use]
    pub const fn of(&self, number: u64) -> Attempt {
        Attempt {
            number,
            stage: self.stage,
            index: self.index,
            attempt: self.attempt,
        }
    }
}

/// What an entry would start next, if it had room.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CapacityRequest {
    /// Whether it will be late in any case.
    pub is_late: bool,
    /// Whether nothing of its job is placed yet.
    pub is_unstarted: bool,
    /// Whether its caller had waited before it came.
    pub has_waited: bool,
    /// The operators' priority.
    pub urgency: u32,
    /// The time left until it has to start.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub left: Duration,
    /// What each task takes.
    pub demand: Resources,
    /// How many tasks wait.
    pub tasks: u32,
}

/// Tasks of one job to start on one upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The entry's number of the job.
    pub number: u64,
    /// The job's id.
    pub job: Name,
    /// The caller's id of the request.
    pub request: Name,
    /// What the tasks are told.
    pub spec: Name,
    /// The tasks.
    pub tasks: Vec<Start>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Outcome {
    /// The task is done.
    Done,
    /// It ran and failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// It was broken off: the upstream ended as announced, or its lease lapsed unanswered.
    Lost,
    /// It was broken off with all that ran beside it: the upstream stopped answering, or started
    /// again.
    Crashed,
    /// It never started: no room.
    Full,
    /// It never started: the upstream takes no new work.
    Closed,
    /// It never started: the order was too old when it arrived.
    Stale,
    /// It never started: an earlier attempt at the same task is still being stopped there.
    Busy,
    /// It never started: the upstream has seen a higher attempt.
    Passed,
    /// It never started: the upstream turned it away or did not answer.
    Refused,
}

impl Outcome {
    /// Whether the attempt never ran.
    #[must_use]
    pub const fn is_unstarted(self) -> bool {
        !matches!(
            self,
            Self::Done | Self::Failed | Self::Stopped | Self::Lost | Self::Crashed
        )
    }
}

/// The end of an attempt.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AttemptResult {
    /// Which.
    pub attempt: Attempt,
    /// How.
    #[serde(rename = "end")]
    pub outcome: Outcome,
    /// How long it ran.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ran: Duration,
}

/// What an agent's upstream can take now.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// The last orders of the receiving entry that are counted in.
    #[serde(rename = "seen")]
    pub last_serial: u64,
    /// Room for new tasks; nothing if the upstream is leaving.
    pub free: Resources,
    /// The share of its latest tasks that failed, in hundredths.
    #[serde(rename = "failing")]
    pub failure_percent: u8,
    /// How long its tasks run, in hundredths of what was expected of them.
    #[serde(rename = "pace")]
    pub slowdown_percent: u16,
    /// How many entries place tasks on it.
    pub entries: u16,
    /// Whether room is held for the receiving entry for a moment.
    #[serde(default)]
    pub is_offered: bool,
}

/// What an agent's upstream is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Its id.
    pub id: Name,
    /// When it started, in milliseconds since 1970, if it says so: an upstream that starts again
    /// may keep its id.
    #[serde(default, rename = "born")]
    pub started_at: Option<u64>,
    /// The pool that it belongs to.
    pub service: Name,
    /// All its room.
    pub capacity: Resources,
    /// Its kind, its rack and other labels.
    pub labels: Vec<Name>,
    /// Whether it takes no new work.
    pub is_leaving: bool,
}

impl Upstream {
    /// Its life.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.id.clone()).with_started_at(self.started_at)
    }
}

/// A message about transient jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Entry to agent: start these.
    Orders {
        /// The number of this message on its link.
        serial: u64,
        /// The agent's clock as last heard, in milliseconds.
        echo: u64,
        /// The orders.
        orders: Vec<Order>,
        /// What the entry waits for besides.
        #[serde(default)]
        ask: Option<CapacityRequest>,
    },
    /// Entry to agent: stop these; nobody waits for them any more.
    Halt(Vec<Attempt>),
    /// Entry to agent: a heartbeat.
    #[serde(rename = "EntryBeat")]
    EntryHeartbeat {
        /// The agent's clock as last heard, in milliseconds.
        echo: u64,
        /// The version of the configuration in force at the entry.
        version: u64,
        /// What the entry waits for, if it asks this agent for room.
        #[serde(default)]
        ask: Option<CapacityRequest>,
    },
    /// Agent to entry: a heartbeat.
    #[serde(rename = "AgentBeat")]
    AgentHeartbeat {
        /// The agent's clock in milliseconds.
        clock: u64,
        /// What its upstream can take.
        load: Load,
    },
    /// Agent to entry: what its upstream is, if it has one.
    Upstream(Option<Upstream>),
    /// Agent to entry: ends of attempts, and what the upstream can take after them.
    Ended {
        /// The agent's clock in milliseconds.
        clock: u64,
        /// The ends.
        #[serde(rename = "endings")]
        results: Vec<AttemptResult>,
        /// What its upstream can take.
        load: Load,
    },
    /// Agent to entry on a new link: all attempts of this entry that the agent still has.
    Held(Vec<Attempt>),
    /// Send me your configuration.
    AskConfiguration,
    /// A configuration.
    Configuration {
        /// Its version.
        version: u64,
        /// Its text as the platform's store holds it, compressed.
        #[serde(with = "serde_bytes")]
        packed: Vec<u8>,
    },
    /// Entry to agent: the addresses of entries that it is linked to, whether they have been able
    /// to announce themselves or not.
    Entries(Vec<directory::Endpoint>),
    /// Entry to agent: what has changed in the directory of entries.
    Directory(directory::Update),
    /// Agent to entry: send me the whole directory of entries.
    AskDirectory,
    /// Entry to entry or agent: which data centres operators are emptying.
    Evacuations(evacuation::State),
}
