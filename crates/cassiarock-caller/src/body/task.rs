//! One task in a request body.

use super::check;
use crate::{Error, Limit, Resources, submission};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// Bytes in a megabyte of declared memory.
const MEGABYTE: u64 = 1 << 20;

/// A task as the caller writes it.
#[serde_as]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Task {
    id: String,
    payload: Box<RawValue>,
    #[serde(default)]
    need: Needs,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    run_ms: Option<Duration>,
}

/// What a task declares to need, as the caller writes it.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Needs {
    cores: f64,
    memory_mb: u64,
    accelerators: u32,
}

impl Task {
    /// Checks the task; `index` is its position in the job.
    pub(super) fn check(self, index: usize, limit: &Limit) -> Result<submission::Task, Error> {
        let id = check::name(format!("tasks[{index}].id"), &self.id, limit)?;
        let need = self.need.check(&format!("tasks[{index}].need"))?;
        Ok(submission::Task {
            id,
            payload: self.payload.get().as_bytes().into(),
            need,
            run: self.run_ms,
        })
    }
}

impl Needs {
    /// Checks the resources; `field` is their path in the request body.
    pub(super) fn check(self, field: &str) -> Result<Resources, Error> {
        if !self.cores.is_finite() || self.cores < 0.0 {
            return Err(Error::field(
                format!("{field}.cores"),
                "it is not a number from 0 up",
            ));
        }
        Ok(Resources {
            cores: self.cores,
            memory: self.memory_mb.saturating_mul(MEGABYTE),
            accelerators: self.accelerators,
        })
    }
}
