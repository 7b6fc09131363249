//! The body of a job submission.

use super::{check, task};
use crate::{Error, Limit, Submission, submission};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};
use std::collections::HashMap;
use std::time::Duration;

/// A job as the caller writes it.
#[serde_as]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Job {
    id: Option<String>,
    kind: String,
    team: String,
    tasks: Vec<task::Task>,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    deadline_ms: Duration,
    #[serde(default)]
    repeatable: bool,
}

impl Job {
    /// Checks the body and returns the submission.
    pub(crate) fn check(self, limit: &Limit) -> Result<Submission, Error> {
        let job = check::id(self.id.as_deref(), self.repeatable)?;
        let kind = check::name("kind", &self.kind, limit)?;
        let team = check::name("team", &self.team, limit)?;
        let deadline = check::deadline(self.deadline_ms, limit)?;
        let tasks = tasks(self.tasks, limit)?;
        let submission = Submission::new(job, kind, team, tasks, deadline);
        Ok(submission.with_repeatable(self.repeatable))
    }
}

fn tasks(list: Vec<task::Task>, limit: &Limit) -> Result<Vec<submission::Task>, Error> {
    if list.is_empty() {
        return Err(Error::field("tasks", "a job has at least one task"));
    }
    if list.len() > limit.tasks {
        let reason = format!("{} tasks are over the limit of {}", list.len(), limit.tasks);
        return Err(Error::field("tasks", reason));
    }
    let tasks = list
        .into_iter()
        .enumerate()
        .map(|(index, task)| task.check(index, limit))
        .collect::<Result<Vec<_>, _>>()?;
    unique(&tasks)?;
    Ok(tasks)
}

fn unique(tasks: &[submission::Task]) -> Result<(), Error> {
    let mut seen = HashMap::with_capacity(tasks.len());
    for (index, task) in tasks.iter().enumerate() {
        if let Some(first) = seen.insert(&task.id, index) {
            let reason = format!("it is also the id of tasks[{first}]");
            return Err(Error::field(format!("tasks[{index}].id"), reason));
        }
    }
    Ok(())
}
