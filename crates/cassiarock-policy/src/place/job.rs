//! What the placement has to know of a job.

use crate::Due;
use cassiarock_id::{Job, Process, Task};
use serde::{Deserialize, Serialize};

/// Names one task of one job.
///
/// ```
/// use cassiarock_id::{Job, Task, Wall};
/// use cassiarock_policy::place::TaskKey;
/// let job = Job::with_bits(Wall::from_millis(1), 1);
/// assert!(TaskKey::new(job, Task(0)) < TaskKey::new(job, Task(1)));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskKey {
    /// The job.
    pub job: Job,
    /// Its task.
    pub task: Task,
}

impl TaskKey {
    /// The key of `task` of `job`.
    #[must_use]
    pub const fn new(job: Job, task: Task) -> Self {
        Self { job, task }
    }
}

/// A task on a start frame.
///
/// ```
/// use cassiarock_id::{Job, Task, Wall};
/// use cassiarock_policy::place::{TaskKey, PlacedTask};
/// let key = TaskKey::new(Job::with_bits(Wall::from_millis(1), 1), Task(0));
/// assert_eq!(PlacedTask::new(key, -40).lateness, -40);
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacedTask {
    /// The task.
    pub key: TaskKey,
    /// How late it is when the frame is written, in milliseconds; negative if it is not
    /// due yet. If it has to wait at the agent, the latest runs first.
    pub lateness: i32,
    /// Whether it may wait at the agent. If not, and no slot is free, it is rejected.
    pub may_wait: bool,
}

impl PlacedTask {
    /// The task `key`, `lateness` milliseconds late, to run at once or be rejected.
    #[must_use]
    pub const fn new(key: TaskKey, lateness: i32) -> Self {
        Self {
            key,
            lateness,
            may_wait: false,
        }
    }

    /// The same, with leave to wait at the agent.
    #[must_use]
    pub const fn with_wait(mut self) -> Self {
        self.may_wait = true;
        self
    }
}

/// Tasks of one job that may be started now.
///
/// ```
/// use cassiarock_id::{Job, Task, Wall};
/// use cassiarock_policy::{Due, place::ReadyTasks};
/// use std::time::Duration;
/// let id = Job::with_bits(Wall::from_millis(1), 1);
/// let due = Due::new(Duration::ZERO, Duration::from_millis(250));
/// let job = ReadyTasks::new(id, due, vec![Task(0), Task(1)]);
/// assert_eq!(job.tasks.len(), 2);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct ReadyTasks {
    /// The job's id.
    pub id: Job,
    /// When its tasks are due, by the arrival and the estimated size.
    pub due: Due,
    /// The tasks, in the order in which they are to start: the longest first.
    pub tasks: Vec<Task>,
    /// An upstream that may run none of them: the keeper of the job's claim.
    pub avoid: Option<Process>,
}

impl ReadyTasks {
    /// The tasks `tasks` of the job `id`.
    #[must_use]
    pub const fn new(id: Job, due: Due, tasks: Vec<Task>) -> Self {
        Self {
            id,
            due,
            tasks,
            avoid: None,
        }
    }

    /// With an upstream that may run none of the tasks.
    #[must_use]
    pub fn with_avoid(mut self, avoid: Process) -> Self {
        self.avoid = Some(avoid);
        self
    }
}
