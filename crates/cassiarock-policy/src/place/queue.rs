//! The entry's waiting tasks.

use super::job::{ReadyTasks, TaskKey};
use crate::Due;
use cassiarock_id::{Job, Process, Task};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The tasks of one job that wait.
#[derive(Debug)]
struct Waiting {
    order: (Due, u64),
    tasks: VecDeque<Task>,
    avoid: Option<Process>,
}

/// Waiting tasks by job, the job due first at the front.
#[derive(Debug, Default)]
pub(super) struct Queue {
    next: u64,
    len: usize,
    order: BTreeMap<(Due, u64), Job>,
    jobs: HashMap<Job, Waiting>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn first_due(&self) -> Option<Due> {
        self.order.keys().next().map(|(due, _)| *due)
    }

    pub(super) fn push(&mut self, job: ReadyTasks) {
        if job.tasks.is_empty() {
            return;
        }
        self.len += job.tasks.len();
        if let Some(waiting) = self.jobs.get_mut(&job.id) {
            waiting.tasks.extend(job.tasks);
            return;
        }
        let order = (job.due, self.next);
        self.next += 1;
        self.order.insert(order, job.id);
        let waiting = Waiting {
            order,
            tasks: job.tasks.into(),
            avoid: job.avoid,
        };
        self.jobs.insert(job.id, waiting);
    }

    /// The first `limit` jobs and the upstreams they avoid.
    pub(super) fn front(&self, limit: usize) -> impl Iterator<Item = (Job, Due, Option<&Process>)> {
        self.order.iter().take(limit).map(|((due, _), id)| {
            let avoid = self.jobs.get(id).and_then(|job| job.avoid.as_ref());
            (*id, *due, avoid)
        })
    }

    pub(super) fn waiting_of(&self, id: Job) -> usize {
        self.jobs.get(&id).map_or(0, |job| job.tasks.len())
    }

    pub(super) fn seekers(&self, few: usize) -> usize {
        let sizes = self.order.values().take(8).map(|id| self.waiting_of(*id));
        sizes.filter(|size| *size <= few).sum()
    }

    pub(super) fn pop(&mut self, id: Job) -> Option<(TaskKey, Due, Option<Process>)> {
        let job = self.jobs.get_mut(&id)?;
        let (due, avoid) = (job.order.0, job.avoid.clone());
        let task = job.tasks.pop_front()?;
        self.len -= 1;
        if job.tasks.is_empty() {
            self.remove(id);
        }
        Some((TaskKey::new(id, task), due, avoid))
    }

    pub(super) fn remove(&mut self, id: Job) -> Vec<Task> {
        let Some(job) = self.jobs.remove(&id) else {
            return Vec::new();
        };
        self.order.remove(&job.order);
        self.len -= job.tasks.len();
        job.tasks.into()
    }
}
