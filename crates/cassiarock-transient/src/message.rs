//! Messages between entries and agents about transient jobs.

use crate::{Incarnation, Resources, directory, evacuation, freshness};
use cassiarock_id::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// One attempt at one task. The job is identified by the number that its entry gave it: a job that
/// is submitted again gets another number, so that late messages about the first submission can't
/// be taken for the second.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Attempt {
    /// The number that the entry gave the job.
    pub number: u64,
    /// The stage of the job.
    pub stage: u32,
    /// The task's index within its stage.
    pub index: u32,
    /// The number of this start of the task; it increases with each start.
    pub attempt: u32,
}

/// A task to start, with its resource demand.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// The stage of the job.
    pub stage: u32,
    /// The task's index within its stage.
    pub index: u32,
    /// The number of this start of the task.
    pub attempt: u32,
    /// The resources that the task takes.
    pub demand: Resources,
    /// The expected run time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub expected: Duration,
    /// Set if the task may have crashed an upstream: the agent of the upstream that was lost with
    /// this task and others. Tasks with the same value must not run together.
    #[serde(default)]
    pub suspect: Option<Name>,
}

impl Start {
    /// The attempt that this starts, for the job with this number.
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

/// A request for capacity: the tasks that an entry would start next if it had room for them.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CapacityRequest {
    /// Whether the job will be late in any case.
    pub is_late: bool,
    /// Whether none of the job's tasks has been placed yet.
    pub is_unstarted: bool,
    /// Whether the caller had already waited before it submitted the job.
    pub has_waited: bool,
    /// The priority that operators configured; 0 is the most urgent.
    pub urgency: u32,
    /// The time left until the job has to start.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub left: Duration,
    /// The resources that each task takes.
    pub demand: Resources,
    /// The number of waiting tasks.
    pub tasks: u32,
}

/// An order to start tasks of one job on one upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The number that the entry gave the job.
    pub number: u64,
    /// The job's id.
    pub job: Name,
    /// The caller's id of the request.
    pub request: Name,
    /// The specification that is passed to the tasks.
    pub spec: Name,
    /// The tasks.
    pub tasks: Vec<Start>,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Outcome {
    /// The task completed.
    Done,
    /// It ran and failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// It was interrupted: the upstream ended as announced, or its lease expired without an answer.
    Lost,
    /// It was interrupted with everything that ran beside it: the upstream stopped answering, or
    /// restarted.
    Crashed,
    /// It never started: the upstream had too little free capacity.
    Full,
    /// It never started: the upstream takes no new work.
    Closed,
    /// It never started: the order was too old when it arrived.
    Stale,
    /// It never started: an earlier attempt at the same task is still being stopped on that
    /// upstream.
    Busy,
    /// It never started: the upstream has already seen a higher attempt number.
    Passed,
    /// It never started: the upstream rejected it or did not answer.
    Refused,
}

impl Outcome {
    /// Whether the attempt was never started.
    #[must_use]
    pub const fn is_unstarted(self) -> bool {
        !matches!(
            self,
            Self::Done | Self::Failed | Self::Stopped | Self::Lost | Self::Crashed
        )
    }
}

/// The outcome of one attempt and its run time.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AttemptResult {
    /// The attempt.
    pub attempt: Attempt,
    /// How the attempt ended.
    #[serde(rename = "end")]
    pub outcome: Outcome,
    /// The run time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ran: Duration,
}

/// The state of an agent's upstream as one entry needs it for placing tasks.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// The serial number of the receiving entry's last [`Message::Orders`] that `free` accounts
    /// for.
    #[serde(rename = "seen")]
    pub last_serial: u64,
    /// Free capacity for new tasks; zero while the upstream accepts none.
    pub free: Resources,
    /// The part of `free` that the receiving entry may count as its own; all of it if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<Resources>,
    /// The percentage of its latest tasks that failed.
    #[serde(rename = "failing")]
    pub failure_percent: u8,
    /// The run time of its tasks as a percentage of the expected run time; above 100 is slower.
    #[serde(rename = "pace")]
    pub slowdown_percent: u16,
    /// The number of entries linked to the agent.
    pub entries: u16,
    /// Whether the agent is holding free capacity for the receiving entry for a short time.
    #[serde(default)]
    pub is_offered: bool,
}

/// Description of an agent's upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// The upstream's id.
    pub id: Name,
    /// The start time in milliseconds since the Unix epoch, if the upstream reports one: an
    /// upstream that restarts may keep its id.
    #[serde(default, rename = "born")]
    pub started_at: Option<u64>,
    /// The pool that it belongs to.
    pub service: Name,
    /// The total capacity.
    pub capacity: Resources,
    /// Kind, rack and other labels.
    pub labels: Vec<Name>,
    /// Whether it takes no new work.
    pub is_leaving: bool,
}

impl Upstream {
    /// The upstream's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.id.clone()).with_started_at(self.started_at)
    }
}

/// A message about transient jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Entry to agent: start these tasks.
    Orders {
        /// The serial number of this message on its link.
        serial: u64,
        /// The agent's clock in milliseconds, as the entry last received it.
        echo: u64,
        /// The orders.
        orders: Vec<Order>,
        /// What the entry would start next if it had capacity.
        #[serde(default)]
        ask: Option<CapacityRequest>,
    },
    /// Entry to agent: stop these attempts; their results are no longer needed.
    Halt(Vec<Attempt>),
    /// Entry to agent: a heartbeat.
    #[serde(rename = "EntryBeat")]
    EntryHeartbeat {
        /// The agent's clock in milliseconds, as the entry last received it.
        echo: u64,
        /// The version of the configuration in force at the entry.
        version: u64,
        /// What the entry would start next, if it asks this agent for capacity.
        #[serde(default)]
        ask: Option<CapacityRequest>,
        /// How fresh the entry's orders are; only sent to other entries.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        freshness: Option<freshness::Report>,
    },
    /// Agent to entry: a heartbeat.
    #[serde(rename = "AgentBeat")]
    AgentHeartbeat {
        /// The agent's clock in milliseconds.
        clock: u64,
        /// The state of the agent's upstream.
        load: Load,
    },
    /// Agent to entry: a description of its upstream, if it has one.
    Upstream(Option<Upstream>),
    /// Agent to entry: results of attempts, and the state of the upstream after the last of them.
    Ended {
        /// The agent's clock in milliseconds.
        clock: u64,
        /// The results.
        #[serde(rename = "endings")]
        results: Vec<AttemptResult>,
        /// The state of the agent's upstream.
        load: Load,
    },
    /// Agent to entry on a new link: all attempts of this entry that the agent runs or holds
    /// results of.
    Held(Vec<Attempt>),
    /// Requests the receiver's configuration.
    AskConfiguration,
    /// A configuration, in reply to [`Message::AskConfiguration`].
    Configuration {
        /// Its version.
        version: u64,
        /// The text as the platform's store holds it, compressed.
        #[serde(with = "serde_bytes")]
        packed: Vec<u8>,
    },
    /// Entry to agent: the addresses of entries that it is linked to, including those that could
    /// not announce themselves in the directory.
    Entries(Vec<directory::Endpoint>),
    /// Entry to agent: changes in the directory of entries.
    Directory(directory::Update),
    /// Agent to entry: requests the whole directory of entries.
    AskDirectory,
    /// Entry to entry or agent: the data centres that operators are evacuating.
    Evacuations(evacuation::State),
}
