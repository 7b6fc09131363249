//! A modelled upstream: it guards its room, and runs what it is told.

use cassiarock_id::Name;
use cassiarock_transient::host::{AttemptKey, Snapshot, StartResponse, Task};
use cassiarock_transient::message::Outcome;
use cassiarock_transient::{Incarnation, Resources};
use std::collections::BTreeMap;
use std::time::Duration;

/// A run on an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) task: Task,
    pub(crate) demand: Resources,
    pub(crate) since: Duration,
    /// How it is going to end.
    pub(crate) end: Outcome,
}

/// One upstream in one life.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) capacity: Resources,
    runs: BTreeMap<u64, Run>,
    ended: Vec<(u64, Task, Outcome)>,
    ends: u64,
    started: u64,
}

impl Upstream {
    pub(crate) const fn new(capacity: Resources) -> Self {
        Self {
            capacity,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            started: 0,
        }
    }

    /// Starts a task if there is room. Gives the run's number.
    pub(crate) fn start(&mut self, run: Run) -> Result<u64, StartResponse> {
        let taken = self.runs.values();
        let taken = taken.fold(Resources::default(), |sum, run| {
            sum.saturating_add(&run.demand)
        });
        if !run.demand.fits_in(&self.capacity.saturating_sub(&taken)) {
            return Err(StartResponse::Full);
        }
        self.started += 1;
        self.runs.insert(self.started, run);
        Ok(self.started)
    }

    /// Whether the run with this number is there.
    pub(crate) fn runs(&self, number: u64) -> bool {
        self.runs.contains_key(&number)
    }

    /// A run ends by itself.
    pub(crate) fn end(&mut self, number: u64) -> Option<Run> {
        let run = self.runs.remove(&number)?;
        self.list(run.task.clone(), run.end);
        Some(run)
    }

    /// A run is stopped.
    pub(crate) fn stop(&mut self, task: &Task) -> Option<Run> {
        let found = self.runs.iter().find(|(_, run)| run.task == *task);
        let number = found.map(|(number, _)| *number)?;
        let run = self.runs.remove(&number)?;
        self.list(run.task.clone(), Outcome::Stopped);
        Some(run)
    }

    fn list(&mut self, task: Task, end: Outcome) {
        self.ends += 1;
        self.ended.push((self.ends, task, end));
    }

    /// What an agent sees that has taken the ends up to `seen`.
    pub(crate) fn snapshot(&mut self, life: Incarnation, seen: u64, now: Duration) -> Snapshot {
        self.ended.retain(|(number, ..)| *number > seen);
        let named = |task: &Task| -> (Name, AttemptKey) {
            let attempt = task.attempt;
            let named = AttemptKey {
                stage: attempt.stage,
                index: attempt.index,
                attempt: attempt.attempt,
            };
            (task.job.clone(), named)
        };
        let ended = self.ended.iter().map(|(number, task, end)| {
            let (job, attempt) = named(task);
            (*number, job, attempt, *end)
        });
        Snapshot {
            incarnation: life,
            clock: millis(now),
            asked: now,
            running: self.runs.values().map(|run| named(&run.task)).collect(),
            ended: ended.collect(),
        }
    }

    /// A new life: its ends are numbered anew.
    pub(crate) fn restart(&mut self) {
        self.ended.clear();
        self.ends = 0;
    }

    /// Everything ends with the upstream's power.
    pub(crate) fn lose(&mut self) -> Vec<Run> {
        std::mem::take(&mut self.runs).into_values().collect()
    }

    pub(crate) fn running(&self) -> usize {
        self.runs.len()
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
