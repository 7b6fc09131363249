//! The status of each task of a job, as far as its owner knows.

use crate::message::{Outcome, Start};
use cassiarock_id::{Process, Task};

/// The status of a task.
#[derive(Debug)]
pub(super) enum TaskStatus {
    /// Proved not to have started: it may be placed.
    Free,
    /// Sent to an agent by this attempt, and not yet proved not to have started.
    Placed { agent: Process, start: Start },
    /// Reported as running, placed by an earlier attempt.
    Running { agent: Process },
    /// Ended with this outcome.
    Ended(Outcome),
}

/// The statuses of the tasks of one job.
#[derive(Debug)]
pub(super) struct Tasks {
    statuses: Vec<TaskStatus>,
    /// The last placement number of each task.
    placements: Vec<u32>,
    /// The number of ended tasks.
    ended: usize,
}

impl Tasks {
    pub(super) fn new(count: u16) -> Self {
        let count = usize::from(count);
        Self {
            statuses: (0..count).map(|_| TaskStatus::Free).collect(),
            placements: vec![0; count],
            ended: 0,
        }
    }

    pub(super) fn get(&self, task: Task) -> Option<&TaskStatus> {
        self.statuses.get(task.index())
    }

    pub(super) fn next_placement(&mut self, task: Task) -> u32 {
        let Some(last) = self.placements.get_mut(task.index()) else {
            return 0;
        };
        *last += 1;
        *last
    }

    /// Sets a task's status, unless the task has ended: an outcome is final.
    pub(super) fn set(&mut self, task: Task, status: TaskStatus) {
        let Some(old) = self.statuses.get_mut(task.index()) else {
            return;
        };
        if matches!(old, TaskStatus::Ended(_)) {
            return;
        }
        self.ended += usize::from(matches!(status, TaskStatus::Ended(_)));
        *old = status;
    }

    /// Frees all tasks that have not ended, before the findings of a complete gather are set.
    pub(super) fn release(&mut self) {
        for task in self.numbers() {
            self.set(task, TaskStatus::Free);
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Task, &TaskStatus)> {
        self.numbers().zip(&self.statuses)
    }

    pub(super) fn free(&self) -> impl Iterator<Item = Task> {
        let free = self
            .iter()
            .filter(|(_, status)| matches!(status, TaskStatus::Free));
        free.map(|(task, _)| task)
    }

    /// The placed and running tasks, each with its agent.
    pub(super) fn pending(&self) -> impl Iterator<Item = (Task, &Process)> {
        self.iter().filter_map(|(task, status)| match status {
            TaskStatus::Placed { agent, .. } | TaskStatus::Running { agent } => Some((task, agent)),
            TaskStatus::Free | TaskStatus::Ended(_) => None,
        })
    }

    pub(super) const fn all_ended(&self) -> bool {
        self.ended == self.statuses.len()
    }

    pub(super) const fn any_ended(&self) -> bool {
        self.ended > 0
    }

    pub(super) fn any_lost(&self) -> bool {
        let lost = |status: &TaskStatus| matches!(status, TaskStatus::Ended(Outcome::Lost(_)));
        self.ended > 0 && self.statuses.iter().any(lost)
    }

    pub(super) fn outcomes(&self) -> Vec<Option<Outcome>> {
        let outcome = |status: &TaskStatus| match status {
            TaskStatus::Ended(outcome) => Some(outcome.clone()),
            TaskStatus::Free | TaskStatus::Placed { .. } | TaskStatus::Running { .. } => None,
        };
        self.statuses.iter().map(outcome).collect()
    }

    fn numbers(&self) -> impl Iterator<Item = Task> + use<> {
        let count = u16::try_from(self.statuses.len()).unwrap_or(u16::MAX);
        (0..count).map(Task)
    }
}
