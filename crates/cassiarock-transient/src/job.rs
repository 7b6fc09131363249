//! A transient job as its caller hands it in.

use crate::Resources;
use cassiarock_id::Name;
use std::time::Duration;

/// Tasks that are alike. A job's stages run when those that they wait for are done.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stage {
    /// How many tasks.
    pub task_count: u32,
    /// What each takes.
    pub demand: Resources,
    /// The caller's rough estimate of a task's duration; off by 40% and more.
    pub estimate: Duration,
    /// The stages, by their place in the job, whose tasks must all be done first.
    pub dependencies: Vec<usize>,
    /// A label that the upstream must have.
    pub label: Option<Name>,
    /// The rack where the data lies: the tasks run longer on others.
    pub rack: Option<Name>,
    /// At most this many tasks of the stage at a time on one upstream.
    pub max_per_upstream: Option<u32>,
}

/// A job: all its tasks have to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// The caller's id of the job. It comes again when the job is submitted again.
    pub id: Name,
    /// The caller's id of this request, for the logs.
    pub request: Name,
    /// What the tasks are told.
    pub spec: Name,
    /// Its stages.
    pub stages: Vec<Stage>,
}

impl Job {
    /// The longest chain of stages by the caller's estimates.
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
            let before = stage
                .dependencies
                .iter()
                .filter_map(|at| ends.get(*at))
                .max();
            ends.push(before.copied().unwrap_or_default() + stage.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// How many tasks it has.
    #[must_use]
    pub fn task_count(&self) -> u32 {
        self.stages.iter().map(|stage| stage.task_count).sum()
    }
}

/// How jobs of one route are to be treated: from the configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub struct JobClass {
    /// The route's name.
    pub route: Name,
    /// The pool of upstreams that may run its tasks.
    pub service: Name,
    /// How urgent its jobs are; 0 goes first.
    pub priority: u32,
    /// How often a task may fail before its job has failed.
    pub max_attempts: u32,
    /// A job is on time up to this many times its longest chain of work, ...
    pub slack_factor: f64,
    /// ... and this much more.
    pub target_latency: Duration,
    /// The version of the configuration that says so.
    pub version: u64,
}
