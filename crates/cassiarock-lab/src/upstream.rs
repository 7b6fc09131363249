//! A modelled upstream: it runs the tasks that it is given and refuses those beyond its capacity.

use cassiarock_id::Name;
use cassiarock_transient::host::{AttemptKey, Snapshot, StartResponse, Task};
use cassiarock_transient::message::Outcome;
use cassiarock_transient::{Incarnation, Resources};
use std::collections::BTreeMap;
use std::time::Duration;

/// The run of a task on an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) task: Task,
    pub(crate) demand: Resources,
    pub(crate) started_at: Duration,
    /// The outcome with which it ends unless it is stopped.
    pub(crate) end: Outcome,
}

/// One incarnation of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) capacity: Resources,
    runs: BTreeMap<u64, Run>,
    ended: Vec<(u64, Task, Outcome)>,
    end_count: u64,
    started: u64,
}

impl Upstream {
    pub(crate) const fn new(capacity: Resources) -> Self {
        Self {
            capacity,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            started: 0,
        }
    }

    /// Starts a task if the free capacity suffices, and returns the number of its run.
    pub(crate) fn start(&mut self, run: Run) -> Result<u64, StartResponse> {
        let used = self.runs.values();
        let used = used.fold(Resources::default(), |sum, run| {
            sum.saturating_add(&run.demand)
        });
        if !run.demand.fits_in(&self.capacity.saturating_sub(&used)) {
            return Err(StartResponse::Full);
        }
        self.started += 1;
        self.runs.insert(self.started, run);
        Ok(self.started)
    }

    /// Whether the run with this number is in progress.
    pub(crate) fn has_run(&self, number: u64) -> bool {
        self.runs.contains_key(&number)
    }

    /// Ends a run with its planned outcome.
    pub(crate) fn end(&mut self, number: u64) -> Option<Run> {
        let run = self.runs.remove(&number)?;
        self.push_ended(run.task.clone(), run.end);
        Some(run)
    }

    /// Stops the run of a task.
    pub(crate) fn stop(&mut self, task: &Task) -> Option<Run> {
        let found = self.runs.iter().find(|(_, run)| run.task == *task);
        let number = found.map(|(number, _)| *number)?;
        let run = self.runs.remove(&number)?;
        self.push_ended(run.task.clone(), Outcome::Stopped);
        Some(run)
    }

    fn push_ended(&mut self, task: Task, end: Outcome) {
        self.end_count += 1;
        self.ended.push((self.end_count, task, end));
    }

    /// The snapshot for an agent that has processed the ends up to number `seen`.
    pub(crate) fn snapshot(
        &mut self,
        incarnation: Incarnation,
        seen: u64,
        now: Duration,
    ) -> Snapshot {
        self.ended.retain(|(number, ..)| *number > seen);
        let key = |task: &Task| -> (Name, AttemptKey) {
            let attempt = task.attempt;
            let key = AttemptKey {
                stage: attempt.stage,
                index: attempt.index,
                attempt: attempt.attempt,
            };
            (task.job.clone(), key)
        };
        let ended = self.ended.iter().map(|(number, task, end)| {
            let (job, attempt) = key(task);
            (*number, job, attempt, *end)
        });
        Snapshot {
            incarnation,
            clock: millis(now),
            asked: now,
            running: self.runs.values().map(|run| key(&run.task)).collect(),
            ended: ended.collect(),
        }
    }

    /// Begins a new incarnation, which numbers its ends from 1 again.
    pub(crate) fn restart(&mut self) {
        self.ended.clear();
        self.end_count = 0;
    }

    /// Ends all runs without listing them, as in a power loss or a crash.
    pub(crate) fn abort_all(&mut self) -> Vec<Run> {
        std::mem::take(&mut self.runs).into_values().collect()
    }

    pub(crate) fn run_count(&self) -> usize {
        self.runs.len()
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
