//! The entry's waiting tasks.

use super::job::{ReadyTasks, TaskKey};
use crate::Due;
use cassiarock_id::{Job, Process, Task};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// How many jobs from the front are searched for small ones.
const JOBS_COUNTED: usize = 8;

/// The waiting tasks of one job.
#[derive(Debug)]
struct WaitingJob {
    /// The job's key in [`Queue::order`].
    order: (Due, u64),
    tasks: VecDeque<Task>,
    avoid: Option<Process>,
}

/// Waiting tasks by job, the job that is due first at the front.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Breaks ties between jobs that are due at the same time, by arrival.
    next: u64,
    /// Waiting tasks of all jobs.
    len: usize,
    order: BTreeMap<(Due, u64), Job>,
    jobs: HashMap<Job, WaitingJob>,
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
        let waiting = WaitingJob {
            order,
            tasks: job.tasks.into(),
            avoid: job.avoid,
        };
        self.jobs.insert(job.id, waiting);
    }

    /// The first `limit` jobs, when they are due and the agents they avoid.
    pub(super) fn front(&self, limit: usize) -> impl Iterator<Item = (Job, Due, Option<&Process>)> {
        self.order.iter().take(limit).map(|((due, _), id)| {
            let avoid = self.jobs.get(id).and_then(|job| job.avoid.as_ref());
            (*id, *due, avoid)
        })
    }

    pub(super) fn waiting_in(&self, id: Job) -> usize {
        self.jobs.get(&id).map_or(0, |job| job.tasks.len())
    }

    /// Waiting tasks of those of the first [`JOBS_COUNTED`] jobs that have at most
    /// `max_tasks` waiting.
    pub(super) fn waiting_in_small_jobs(&self, max_tasks: usize) -> usize {
        let sizes = self
            .order
            .values()
            .take(JOBS_COUNTED)
            .map(|id| self.waiting_in(*id));
        sizes.filter(|size| *size <= max_tasks).sum()
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
