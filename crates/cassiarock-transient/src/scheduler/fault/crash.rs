//! Tasks that crash their upstreams.
//!
//! A queue may hold tasks that crash their upstream, and with it the tasks that run beside them.
//! All tasks that were lost with an upstream are suspects. A suspect runs next where no other
//! suspect of the same loss runs, so that a second crash shows which task is at fault, and beside
//! as few other tasks as possible. A task under which two upstreams have crashed is given up.
//!
//! An upstream that is lost has not always crashed: it may be cut off, or hang. Its next
//! incarnation confirms a crash; an answer of the same incarnation refutes it.

use crate::Incarnation;
use crate::message::Attempt;
use crate::scheduler::active_job::{ActiveJob, Task};
use cassiarock_id::{Name, Process};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// The number of confirmed crashes under a task with which it is given up. With as many unsettled
/// losses it waits.
pub(in crate::scheduler) const MAX_CRASHES: usize = 2;

/// How long a task that may have crashed `MAX_CRASHES` upstreams waits for these to be confirmed
/// or refuted.
pub(in crate::scheduler) const VERDICT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A suspect that was refused this often, by agents that run another suspect of the same loss, may
/// run beside one: there are too few other upstreams.
pub(in crate::scheduler) const MAX_REFUSALS: u32 = 3;

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

/// The loss of an upstream that ran a task, which may have crashed it.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct Loss {
    /// The agent whose upstream was lost.
    pub(in crate::scheduler) agent: Process,
    pub(in crate::scheduler) at: Duration,
    /// Whether it was a crash: another incarnation of the upstream has started.
    pub(in crate::scheduler) is_confirmed: bool,
}

/// What became of an upstream that was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::scheduler) enum Verdict {
    /// It has started again.
    Crashed,
    /// It answers again and has run all the time.
    Alive,
}

impl Verdict {
    /// Applies the verdict on the upstream of `agent` to the crashes under a task.
    pub(in crate::scheduler) fn apply(self, crashes: &mut Vec<Loss>, agent: &Process) {
        match self {
            Self::Crashed => {
                let last = crashes.iter_mut().rfind(|crash| crash.agent == *agent);
                if let Some(crash) = last {
                    crash.is_confirmed = true;
                }
            }
            Self::Alive => crashes.retain(|crash| crash.agent != *agent || crash.is_confirmed),
        }
    }
}

/// The upstreams lost within `COMMON_LOSS_WINDOW`, and the crashes under the tasks of recent jobs.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Crashes {
    losses: VecDeque<(Duration, Process)>,
    jobs: HashMap<Name, JobCrashes>,
    /// The incarnations that were lost and not heard of since, by their agents.
    unsettled: BTreeMap<Process, Incarnation>,
}

/// The tasks of a job under which upstreams have crashed, by stage and index.
#[derive(Debug)]
struct JobCrashes {
    last_crash: Duration,
    tasks: HashMap<(usize, usize), Vec<Loss>>,
}

impl Crashes {
    /// Records that an upstream was lost with its tasks, and returns whether one of the tasks may
    /// be the cause.
    pub(in crate::scheduler) fn record_loss(
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
    pub(in crate::scheduler) fn clear_common<'a>(
        &mut self,
        active: impl Iterator<Item = &'a mut ActiveJob>,
    ) {
        let is_sole = |crash: &Loss| self.losses.iter().all(|(_, lost)| *lost != crash.agent);
        for task in active.flat_map(|job| job.tasks.iter_mut().flatten()) {
            task.settle(|crashes| crashes.retain(is_sole));
        }
        for crashes in self
            .jobs
            .values_mut()
            .flat_map(|job| job.tasks.values_mut())
        {
            crashes.retain(is_sole);
        }
    }

    /// Records which incarnation an agent has lost, until [`Self::settle`] knows what became of it.
    pub(in crate::scheduler) fn await_verdict(&mut self, agent: &Process, lost: Incarnation) {
        self.unsettled.insert(agent.clone(), lost);
    }

    /// Returns what became of the upstream that an agent has lost, if that is known now: its
    /// `present` incarnation is another one, or the same and `answers`.
    pub(in crate::scheduler) fn settle(
        &mut self,
        agent: &Process,
        present: &Incarnation,
        answers: bool,
    ) -> Option<Verdict> {
        let lost = self.unsettled.get(agent)?;
        let verdict = match (present.differs_from(lost), answers) {
            (true, _) => Verdict::Crashed,
            (false, true) => Verdict::Alive,
            (false, false) => return None,
        };
        self.unsettled.remove(agent);
        for job in self.jobs.values_mut() {
            for crashes in job.tasks.values_mut() {
                verdict.apply(crashes, agent);
            }
        }
        Some(verdict)
    }

    /// Stops waiting for news of the upstream of an agent that is lost itself.
    pub(in crate::scheduler) fn forget_agent(&mut self, agent: &Process) {
        self.unsettled.remove(agent);
    }

    /// Forgets the crashes under a task that has been done since.
    pub(in crate::scheduler) fn forget(&mut self, job: &Name, stage: usize, index: usize) {
        if let Some(record) = self.jobs.get_mut(job) {
            record.tasks.remove(&(stage, index));
        }
    }

    /// Whether no crash within `RETENTION` is known.
    pub(in crate::scheduler) fn is_empty(&self, now: Duration) -> bool {
        let mut jobs = self.jobs.values();
        jobs.all(|job| now >= job.last_crash + RETENTION)
    }

    /// Records a crash under a task. A crash within `COMMON_LOSS_WINDOW` of the last one has the
    /// same cause and is not counted: the task was placed again on the next upstream that was
    /// about to be lost.
    pub(in crate::scheduler) fn add(
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
        task.crashes.push(Loss {
            agent,
            at: now,
            is_confirmed: false,
        });
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
    pub(in crate::scheduler) fn restore(&self, active: &mut ActiveJob, now: Duration) {
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
                task.wait_for_verdict();
            }
        }
    }
}

/// The agents that run suspects.
pub(in crate::scheduler) fn suspect_agents<'a>(
    active: impl Iterator<Item = &'a ActiveJob>,
) -> BTreeSet<Process> {
    let tasks = active.flat_map(|job| job.tasks.iter().flatten());
    let suspects = tasks.filter(|task| !task.crashes.is_empty());
    suspects.filter_map(|task| task.agent().cloned()).collect()
}
