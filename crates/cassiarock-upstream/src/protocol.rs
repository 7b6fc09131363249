//! The JSON bodies between agent and worker.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /v1/tasks` | [`RunRequest`] | [`RunAnswer`] |
//! | `DELETE /v1/tasks/{job}/{task}` | | 200, or 404 if it does not run |
//! | `GET /v1/health` | | [`Health`] |
//! | `GET /v1/usage` | | [`Usage`] |

use crate::Run;
use cassiarock_id::{Job, Task};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;

/// The request to run a task.
#[derive(Serialize)]
pub(crate) struct RunRequest<'a> {
    job: Job,
    task: Task,
    round: u32,
    kind: &'a str,
    payload: &'a RawValue,
}

impl<'a> RunRequest<'a> {
    /// The request for `run`; `None` if its payload is not JSON.
    pub(crate) fn new(run: &'a Run) -> Option<Self> {
        Some(Self {
            job: run.job,
            task: run.task,
            round: run.round,
            kind: &run.kind,
            payload: serde_json::from_slice(&run.payload).ok()?,
        })
    }
}

/// The worker's answer to a run request: the identity of the run, and either a result or an
/// error.
#[derive(Deserialize)]
pub(crate) struct RunAnswer {
    job: Job,
    task: Task,
    round: u32,
    #[serde(default, deserialize_with = "deserialize_present")]
    pub(crate) result: Option<Box<RawValue>>,
    pub(crate) error: Option<String>,
}

impl RunAnswer {
    /// Whether this is the answer to `run`. The identity detects a worker, or a proxy in
    /// front of it, that mixes up two answers: one caller would get another's result.
    pub(crate) fn belongs_to(&self, run: &Run) -> bool {
        (self.job, self.task, self.round) == (run.job, run.task, run.round)
    }
}

/// Deserializes a result that is present, `null` included. By default `null` would become `None`,
/// and a task whose result is `null` would count as lost.
fn deserialize_present<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Box<RawValue>>, D::Error> {
    Box::<RawValue>::deserialize(deserializer).map(Some)
}

/// The health that the worker reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Health {
    /// Whether the worker can take work.
    pub healthy: bool,
    /// Whether the worker is about to shut down and should get no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// The resources that the worker's tasks use. The values may be several seconds old.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Usage {
    /// The number of running tasks.
    pub running: u32,
    /// Processor cores in use.
    pub cores: f64,
    /// Memory in use, in bytes.
    pub memory: u64,
}
