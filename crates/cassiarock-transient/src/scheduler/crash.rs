//! Tasks that crash their upstreams.
//!
//! A queue may hold tasks that crash their upstream, and with it the tasks that run beside them.
//! All tasks that were lost with an upstream are suspects. A suspect runs next where no other
//! suspect of the same loss runs, so that a second crash shows which task is at fault, and beside
//! as few other tasks as possible. A task under which two upstreams have crashed is given up.

use super::active_job::{ActiveJob, Task};
use crate::message::Attempt;
use cassiarock_id::{Name, Process};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// The number of crashes under a task with which it is given up.
pub(super) const MAX_CRASHES: usize = 2;

/// A suspect that was refused this often, by agents that run another suspect of the same loss, may
/// run beside one: there are too few other upstreams.
pub(super) const MAX_REFUSALS: u32 = 3;

/// Upstreams that are lost within `COMMON_LOSS_WINDOW` of each other have a common cause, such as
/// a power loss of their rack, if they are at least this many ...
const MIN_COMMON_LOSSES: usize = 3;

/// ... and at least one in this many of all upstreams.
const COMMON_LOSS_DIVISOR: usize = 10;

/// See [`MIN_COMMON_LOSSES`].
const COMMON_LOSS_WINDOW: Duration = Duration::from_millis(500);

/// How long the crashes under a job's tasks are remembered. Callers submit a job again within
/// seconds of a lost answer.
const RETENTION: Duration = Duration::from_secs(60);

/// The most jobs that are remembered.
const MAX_JOBS: usize = 1_024;

/// A crash under a task.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// The agent whose upstream was lost.
    pub(super) agent: Process,
    at: Duration,
}

/// The upstreams lost within `COMMON_LOSS_WINDOW`, and the crashes under the tasks of recent jobs.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    losses: VecDeque<(Duration, Process)>,
    jobs: HashMap<Name, JobCrashes>,
}

/// The tasks of a job under which upstreams have crashed, by stage and index.
#[derive(Debug)]
struct JobCrashes {
    last_crash: Duration,
    tasks: HashMap<(usize, usize), Vec<Crash>>,
}

impl Crashes {
    /// Records that an upstream was lost with its tasks, and returns whether one of the tasks may
    /// be the cause.
    pub(super) fn record_loss(
        &mut self,
        agent: &Process,
        agent_count: usize,
        now: Duration,
    ) -> bool {
        self.jobs.retain(|_, job| now < job.last_crash + RETENTION);
        while self
            .losses
            .front()
            .is_some_and(|(at, _)| *at + COMMON_LOSS_WINDOW < now)
        {
            self.losses.pop_front();
        }
        if self.losses.iter().all(|(_, lost)| lost != agent) {
            self.losses.push_back((now, agent.clone()));
        }
        self.losses.len() < MIN_COMMON_LOSSES.max(agent_count / COMMON_LOSS_DIVISOR)
    }

    /// Clears the crashes of upstreams that turned out to be lost by a common cause.
    pub(super) fn clear_common<'a>(&mut self, active: impl Iterator<Item = &'a mut ActiveJob>) {
        let is_sole = |crash: &Crash| self.losses.iter().all(|(_, lost)| *lost != crash.agent);
        for task in active.flat_map(|job| job.tasks.iter_mut().flatten()) {
            task.crashes.retain(is_sole);
        }
        for crashes in self
            .jobs
            .values_mut()
            .flat_map(|job| job.tasks.values_mut())
        {
            crashes.retain(is_sole);
        }
    }

    /// Whether no crash within `RETENTION` is known.
    pub(super) fn is_empty(&self, now: Duration) -> bool {
        let mut jobs = self.jobs.values();
        jobs.all(|job| now >= job.last_crash + RETENTION)
    }

    /// Records a crash under a task. A crash within `COMMON_LOSS_WINDOW` of the last one has the
    /// same cause and is not counted: the task was placed again on the next upstream that was
    /// about to be lost.
    pub(super) fn add(
        &mut self,
        job: &Name,
        attempt: &Attempt,
        task: &mut Task,
        agent: &Process,
        now: Duration,
    ) {
        if task
            .crashes
            .last()
            .is_some_and(|last| now < last.at + COMMON_LOSS_WINDOW)
        {
            return;
        }
        let agent = agent.clone();
        task.crashes.push(Crash { agent, at: now });
        if self.jobs.len() >= MAX_JOBS && !self.jobs.contains_key(job) {
            return;
        }
        let record = self.jobs.entry(job.clone()).or_insert_with(|| JobCrashes {
            last_crash: now,
            tasks: HashMap::new(),
        });
        record.last_crash = now;
        let key = (attempt.stage as usize, attempt.index as usize);
        record.tasks.insert(key, task.crashes.clone());
    }

    /// Restores the crashes under the tasks of a job that is submitted again.
    pub(super) fn restore(&self, active: &mut ActiveJob, now: Duration) {
        let record = self.jobs.get(&active.job.id);
        let Some(record) = record.filter(|record| now < record.last_crash + RETENTION) else {
            return;
        };
        for ((stage, index), crashes) in &record.tasks {
            let task = active
                .tasks
                .get_mut(*stage)
                .and_then(|stage| stage.get_mut(*index));
            if let Some(task) = task {
                task.crashes.clone_from(crashes);
            }
        }
    }
}

/// The agents that run suspects.
pub(super) fn suspect_agents<'a>(active: impl Iterator<Item = &'a ActiveJob>) -> BTreeSet<Process> {
    let tasks = active.flat_map(|job| job.tasks.iter().flatten());
    let suspects = tasks.filter(|task| !task.crashes.is_empty());
    suspects.filter_map(|task| task.agent().cloned()).collect()
}
