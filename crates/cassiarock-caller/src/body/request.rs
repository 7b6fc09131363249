//! The body of a single request: a job of one task.

use super::{check, task};
use crate::{Error, Limit, Submission, submission};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// The id of a request's only task.
const TASK: &str = "request";

/// A request as the caller writes it.
#[serde_as]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Request {
    id: Option<String>,
    kind: String,
    team: String,
    payload: Box<RawValue>,
    #[serde(default)]
    need: task::Needs,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    run_ms: Option<Duration>,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    deadline_ms: Duration,
    #[serde(default)]
    repeatable: bool,
}

impl Request {
    /// Checks the body and returns a submission of one task.
    pub(crate) fn check(self, limit: &Limit) -> Result<Submission, Error> {
        let job = check::id(self.id.as_deref(), self.repeatable)?;
        let kind = check::name("kind", &self.kind, limit)?;
        let team = check::name("team", &self.team, limit)?;
        let deadline = check::deadline(self.deadline_ms, limit)?;
        let task = submission::Task {
            need: self.need.check("need")?,
            run: self.run_ms,
            ..submission::Task::new(TASK, self.payload.get().as_bytes())
        };
        let submission = Submission::new(job, kind, team, vec![task], deadline);
        Ok(submission.with_repeatable(self.repeatable))
    }
}
