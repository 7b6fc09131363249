//! Transient jobs as callers submit them.

use crate::Resources;
use cassiarock_id::Name;
use std::time::Duration;

/// Identical tasks of a job. A stage starts when the stages it depends on are done.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stage {
    /// The number of tasks.
    pub task_count: u32,
    /// The resources that each task takes.
    pub demand: Resources,
    /// The caller's rough estimate of a task's duration; off by 40% and more.
    pub estimate: Duration,
    /// The stages, by their index in the job, whose tasks must all be done first.
    pub dependencies: Vec<usize>,
    /// A label that the upstream must have.
    pub label: Option<Name>,
    /// The rack that holds the data. Tasks run longer on other racks.
    pub rack: Option<Name>,
    /// At most this many tasks of the stage at a time on one upstream.
    pub max_per_upstream: Option<u32>,
}

/// A job. It is complete when all its tasks are done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// The caller's id of the job. A resubmission has the same id.
    pub id: Name,
    /// The caller's id of this request, for the logs.
    pub request: Name,
    /// The specification that is passed to the tasks.
    pub spec: Name,
    /// The stages.
    pub stages: Vec<Stage>,
}

impl Job {
    /// The duration of the longest chain of dependent stages by the caller's estimates.
    ///
    /// ```
    /// use cassiarock_transient::{Job, Stage};
    /// use std::time::Duration;
    /// let stage = |ms, dependencies| Stage { task_count: 1, estimate: Duration::from_millis(ms), dependencies, ..Stage::default() };
    /// let job = Job {
    ///     id: "5c0e".into(),
    ///     request: "r-1".into(),
    ///     spec: "".into(),
    ///     stages: vec![stage(60, vec![]), stage(100, vec![]), stage(30, vec![0])],
    /// };
    /// assert_eq!(job.critical_path(), Duration::from_millis(100));
    /// ```
    #[must_use]
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.stages.len());
        for stage in &self.stages {
            let dependencies = stage.dependencies.iter();
            let start = dependencies.filter_map(|index| ends.get(*index)).max();
            ends.push(start.copied().unwrap_or_default() + stage.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// The number of tasks in all stages.
    #[must_use]
    pub fn task_count(&self) -> u32 {
        self.stages.iter().map(|stage| stage.task_count).sum()
    }
}

/// How jobs of one route are scheduled, as the configuration in force says.
#[derive(Clone, Debug, PartialEq)]
pub struct JobClass {
    /// The route's name.
    pub route: Name,
    /// The pool of upstreams that may run the tasks.
    pub service: Name,
    /// The priority of the jobs; 0 goes first.
    pub priority: u32,
    /// The number of failures of one task with which its job has failed.
    pub max_attempts: u32,
    /// A job is on time if it takes at most this many times its critical path, ...
    pub slack_factor: f64,
    /// ... plus this duration.
    pub target_latency: Duration,
    /// The version of the configuration that this class comes from.
    pub version: u64,
}
