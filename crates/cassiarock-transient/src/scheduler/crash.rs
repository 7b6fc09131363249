//! Tasks that crash what runs them.
//!
//! The load that this answers is a queue some of whose tasks take their upstream down, and with it
//! the tasks beside them. All tasks that were lost with an upstream are suspects. A suspect runs
//! next where no other suspect of the same loss runs, so that a second crash tells which task is
//! at fault, and beside as few other tasks as possible. A task under which two upstreams have
//! crashed is given up.

use super::work::{Task, Work};
use crate::message::Attempt;
use cassiarock_id::{Name, Process};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Crashes under a task after which it is given up.
pub(super) const MOST: usize = 2;

/// So many agents that run a suspect of the same loss turn a suspect away before it runs beside
/// one: there are too few others.
pub(super) const TURNED: u32 = 3;

/// Upstreams that are lost within `TOGETHER` of each other have a cause in common, such as a rack
/// without power, if they are this many at least ...
const COMMON: usize = 3;

/// ... and this share of all: one in ten.
const SHARE: usize = 10;

/// See [`COMMON`].
const TOGETHER: Duration = Duration::from_millis(500);

/// How long the crashes under a job's tasks are remembered: callers submit a job again within
/// seconds of a lost answer.
const KEEP: Duration = Duration::from_secs(60);

/// Jobs that are remembered.
const JOBS: usize = 1_024;

/// A crash under a task.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// Whose upstream was lost.
    pub(super) agent: Process,
    at: Duration,
}

/// The lost upstreams of the last moments, and the jobs that ran there.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    lost: VecDeque<(Duration, Process)>,
    jobs: HashMap<Name, Record>,
}

/// The tasks of a job under which upstreams have crashed, by stage and index.
#[derive(Debug)]
struct Record {
    at: Duration,
    tasks: HashMap<(usize, usize), Vec<Crash>>,
}

impl Crashes {
    /// An upstream was lost with what ran there. Answers whether its tasks may be the cause.
    pub(super) fn lose(&mut self, agent: &Process, agents: usize, now: Duration) -> bool {
        self.jobs.retain(|_, record| now < record.at + KEEP);
        while self
            .lost
            .front()
            .is_some_and(|(at, _)| *at + TOGETHER < now)
        {
            self.lost.pop_front();
        }
        if self.lost.iter().all(|(_, lost)| lost != agent) {
            self.lost.push_back((now, agent.clone()));
        }
        self.lost.len() < COMMON.max(agents / SHARE)
    }

    /// Withdraws what was suspected of tasks at upstreams that have turned out to be lost together.
    pub(super) fn clear_common<'a>(&mut self, works: impl Iterator<Item = &'a mut Work>) {
        let is_sole = |crash: &Crash| self.lost.iter().all(|(_, lost)| *lost != crash.agent);
        for task in works.flat_map(|work| work.tasks.iter_mut().flatten()) {
            task.crashed.retain(is_sole);
        }
        for crashed in self
            .jobs
            .values_mut()
            .flat_map(|record| record.tasks.values_mut())
        {
            crashed.retain(is_sole);
        }
    }

    /// Whether no crash of the last minute is remembered.
    pub(super) fn is_empty(&self, now: Duration) -> bool {
        let mut records = self.jobs.values();
        records.all(|record| now >= record.at + KEEP)
    }

    /// A crash under a task of this job. One that follows another within a moment has the same
    /// cause: the task had been placed again on the next upstream that was about to be lost.
    pub(super) fn add(
        &mut self,
        job: &Name,
        attempt: &Attempt,
        task: &mut Task,
        agent: &Process,
        now: Duration,
    ) {
        if task
            .crashed
            .last()
            .is_some_and(|last| now < last.at + TOGETHER)
        {
            return;
        }
        let agent = agent.clone();
        task.crashed.push(Crash { agent, at: now });
        if self.jobs.len() >= JOBS && !self.jobs.contains_key(job) {
            return;
        }
        let record = self.jobs.entry(job.clone()).or_insert_with(|| Record {
            at: now,
            tasks: HashMap::new(),
        });
        record.at = now;
        let key = (attempt.stage as usize, attempt.index as usize);
        record.tasks.insert(key, task.crashed.clone());
    }

    /// Tells a job that is submitted again what its tasks have done before.
    pub(super) fn recall(&self, work: &mut Work, now: Duration) {
        let record = self.jobs.get(&work.job.id);
        let Some(record) = record.filter(|record| now < record.at + KEEP) else {
            return;
        };
        for ((stage, index), crashed) in &record.tasks {
            let task = work.tasks.get_mut(*stage).and_then(|s| s.get_mut(*index));
            if let Some(task) = task {
                task.crashed.clone_from(crashed);
            }
        }
    }
}

/// The agents where suspects run.
pub(super) fn suspected<'a>(works: impl Iterator<Item = &'a Work>) -> BTreeSet<Process> {
    let tasks = works.flat_map(|work| work.tasks.iter().flatten());
    let suspects = tasks.filter(|task| !task.crashed.is_empty());
    suspects.filter_map(|task| task.agent().cloned()).collect()
}
