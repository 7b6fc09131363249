//! Tasks as placement sees them.

use crate::Due;
use cassiarock_id::{Job, Process, Task};
use serde::{Deserialize, Serialize};

/// Identifies one task of one job.
///
/// ```
/// use cassiarock_id::{Job, Task, Wall};
/// use cassiarock_policy::place::TaskKey;
/// let job = Job::with_bits(Wall::from_millis(1), 1);
/// assert!(TaskKey::new(job, Task(0)) < TaskKey::new(job, Task(1)));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskKey {
    /// The job's id.
    pub job: Job,
    /// The task's index in the job.
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
    /// Which task it is.
    pub key: TaskKey,
    /// By how many milliseconds the task is overdue when the frame is written; negative
    /// if it is not due yet. Among tasks that wait at the agent, the most overdue runs
    /// first.
    pub lateness: i32,
    /// Whether the task may wait at the agent. If not, and no slot is free, the agent
    /// rejects it.
    pub may_wait: bool,
}

impl PlacedTask {
    /// A task that is `lateness` milliseconds overdue and runs at once or is rejected.
    #[must_use]
    pub const fn new(key: TaskKey, lateness: i32) -> Self {
        Self {
            key,
            lateness,
            may_wait: false,
        }
    }

    /// Allows the task to wait at the agent.
    #[must_use]
    pub const fn with_wait(mut self) -> Self {
        self.may_wait = true;
        self
    }
}

/// Tasks of one job that are ready to start.
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
    /// When the tasks are due, from the job's arrival and its estimated size.
    pub due: Due,
    /// The tasks in the order in which they should start: the longest first.
    pub tasks: Vec<Task>,
    /// An upstream that must not run any of them, such as the keeper of the job's claim.
    pub avoid: Option<Process>,
}

impl ReadyTasks {
    /// Tasks that any upstream may run.
    #[must_use]
    pub const fn new(id: Job, due: Due, tasks: Vec<Task>) -> Self {
        Self {
            id,
            due,
            tasks,
            avoid: None,
        }
    }

    /// Excludes the upstream of the agent `avoid`.
    #[must_use]
    pub fn with_avoid(mut self, avoid: Process) -> Self {
        self.avoid = Some(avoid);
        self
    }
}
