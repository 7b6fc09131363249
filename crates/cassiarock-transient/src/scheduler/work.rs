//! A job in hand.

use super::crash::{self, Crash};
use super::rank::Rank;
use crate::message::Attempt;
use crate::{Job, JobClass};
use cassiarock_id::{Name, Process};
use std::sync::Arc;
use std::time::Duration;

/// Work is late up to this many times its objective; after that it is worth nothing to its
/// caller.
const LATE: u32 = 3;

/// A job runs longer than expected about as often as shorter: estimates are off by 40%. Of
/// those that started just early enough by the expected time, half were late.
const MARGIN: f64 = 1.3;

/// One job in this many goes by its latest start alone: the least urgent queue would get
/// nothing while the most urgent one fills the system.
const FAIR: u64 = 8;

/// A late answer is worth one in this many of an answer in time.
const LATE_WORTH: u32 = 5;

/// Where a task stands.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// It can be placed from this time on.
    Waiting(Duration),
    /// It is at an agent since then.
    Placed(Process, Duration),
    /// It is being stopped there, to be placed again.
    Moving(Process, Duration),
    /// It is done.
    Done,
}

/// One task.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) phase: Phase,
    /// The number of the present attempt, or of the next one if it waits.
    pub(super) attempt: u32,
    pub(super) failures: u32,
    /// Where it has failed or was not taken: the last resort for its next attempt.
    pub(super) avoid: Vec<Process>,
    /// The agents whose upstreams were lost with it and may have been so through it.
    pub(super) crashed: Vec<Crash>,
    /// How often an agent has turned it away since.
    pub(super) turned: u32,
    /// How often it was moved away from an upstream that kept it too long.
    pub(super) moves: u32,
}

impl Task {
    const fn new() -> Self {
        Self {
            phase: Phase::Waiting(Duration::ZERO),
            attempt: 1,
            failures: 0,
            avoid: Vec::new(),
            crashed: Vec::new(),
            turned: 0,
            moves: 0,
        }
    }

    /// The loss that it is suspected of, unless it was turned away for that too often: it then runs
    /// with whatever else there is.
    pub(super) fn suspect(&self) -> Option<Name> {
        let last = self.crashed.last()?;
        (self.turned < crash::TURNED).then(|| last.agent.name.clone())
    }

    /// The agent that has it.
    pub(super) const fn agent(&self) -> Option<&Process> {
        match &self.phase {
            Phase::Placed(agent, _) | Phase::Moving(agent, _) => Some(agent),
            Phase::Waiting(_) | Phase::Done => None,
        }
    }
}

/// A job in hand.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) number: u64,
    pub(super) job: Job,
    pub(super) class: Arc<JobClass>,
    pub(super) arrived: Duration,
    /// Up to when it is on time.
    pub(super) due: Duration,
    /// Up to when an answer is worth anything.
    pub(super) limit: Duration,
    /// When its caller leaves.
    pub(super) leaves: Duration,
    /// The longest chain of its work as learned.
    pub(super) chain: Duration,
    /// How long a task of each stage should run.
    pub(super) expected: Vec<Duration>,
    /// Whether its caller had waited before it came, and will be answered late.
    pub(super) has_waited: bool,
    /// Whether any of its tasks has been placed.
    pub(super) was_placed: bool,
    /// Whether it was not placed whole by its latest start.
    pub(super) is_late: bool,
    /// Its tasks by stage.
    pub(super) tasks: Vec<Vec<Task>>,
    /// Whether an attempt at any task has run, or may have.
    pub(super) has_run: bool,
    /// How many tasks are not done.
    pub(super) left: u32,
    pub(super) retries: u32,
}

impl Work {
    /// `ratio` is how long tasks of the route run, in terms of their callers' estimates.
    pub(super) fn new(
        number: u64,
        job: Job,
        class: Arc<JobClass>,
        patience: Duration,
        ratio: f64,
        now: Duration,
    ) -> Self {
        let chain = job.critical_path().mul_f64(ratio);
        let objective = chain.mul_f64(class.slack_factor) + class.target_latency;
        let tasks = |stage: &crate::Stage| vec![Task::new(); stage.task_count as usize];
        Self {
            number,
            arrived: now,
            due: now + objective.min(patience),
            limit: now + (objective * LATE).min(patience),
            leaves: now + patience,
            chain,
            expected: job
                .stages
                .iter()
                .map(|stage| stage.estimate.mul_f64(ratio))
                .collect(),
            tasks: job.stages.iter().map(tasks).collect(),
            has_waited: false,
            was_placed: false,
            is_late: false,
            has_run: false,
            left: job.task_count(),
            retries: 0,
            job,
            class,
        }
    }

    /// The same, of a caller that had waited before it came.
    pub(super) fn with_waited(self, has_waited: bool) -> Self {
        Self { has_waited, ..self }
    }

    /// The latest time to start at, if the job is to be on time.
    pub(super) fn latest(&self) -> Duration {
        self.due.saturating_sub(self.chain.mul_f64(MARGIN))
    }

    /// Its rank in the queue.
    pub(super) fn rank(&self) -> Rank {
        Rank {
            is_late: self.is_late,
            is_unstarted: !self.was_placed,
            has_waited: self.has_waited,
            urgency: self.urgency(),
            latest: self.latest(),
            number: self.number,
        }
    }

    /// The operators' priority, or the first one for a fair share of all jobs.
    pub(super) fn urgency(&self) -> u32 {
        if self.number.is_multiple_of(FAIR) {
            0
        } else {
            self.class.priority
        }
    }

    /// Whether a job that has started keeps its rank though its latest start has passed: it
    /// can still be on time, or little of it is left to place. Behind all others its last tasks
    /// would find no room, and what has run of it would be thrown away.
    pub(super) fn is_worth_ending(&self, now: Duration) -> bool {
        if !self.was_placed {
            return false;
        }
        let tasks = self.tasks.iter().flatten();
        let waiting = tasks.filter(|task| matches!(task.phase, Phase::Waiting(_)));
        now + self.chain <= self.due || waiting.count() as u32 * LATE_WORTH <= self.job.task_count()
    }

    /// Whether it cannot be done in time any more. What runs already is left to end: its
    /// caller gets the answer, if late, and nothing more is spent on it.
    pub(super) fn is_hopeless(&self, now: Duration) -> bool {
        if now >= self.leaves {
            return true;
        }
        let needs = if self.may_have_run() {
            Duration::ZERO
        } else {
            self.chain
        };
        self.has_waiting() && now + needs >= self.limit
    }

    /// Whether any task may have started: what is at an agent may run. Only a job of which
    /// nothing has can be refused.
    pub(super) fn may_have_run(&self) -> bool {
        let mut tasks = self.tasks.iter().flatten();
        self.has_run || tasks.any(|task| task.agent().is_some())
    }

    /// Whether all stages that `stage` waits for are done.
    pub(super) fn is_open(&self, stage: usize) -> bool {
        let is_done = |at: &usize| {
            let tasks = self.tasks.get(*at);
            tasks.is_some_and(|tasks| tasks.iter().all(|task| task.phase == Phase::Done))
        };
        self.job.stages[stage].dependencies.iter().all(is_done)
    }

    /// The tasks that can be placed now.
    pub(super) fn waiting(&self, now: Duration) -> Vec<(usize, usize)> {
        let mut waiting = Vec::new();
        for stage in 0..self.tasks.len() {
            if !self.is_open(stage) {
                continue;
            }
            let tasks = self.tasks[stage].iter().enumerate();
            let ready =
                tasks.filter(|(_, task)| matches!(task.phase, Phase::Waiting(at) if at <= now));
            waiting.extend(ready.map(|(index, _)| (stage, index)));
        }
        waiting
    }

    /// Whether any task waits, now or later.
    pub(super) fn has_waiting(&self) -> bool {
        let mut tasks = self.tasks.iter().flatten();
        tasks.any(|task| matches!(task.phase, Phase::Waiting(_)))
    }

    /// The processor time, in core-milliseconds, of the tasks that wait.
    pub(super) fn waiting_work(&self) -> f64 {
        let stages = self.job.stages.iter().zip(&self.tasks).zip(&self.expected);
        stages
            .map(|((stage, tasks), expected)| {
                let waiting = tasks.iter();
                let waiting = waiting.filter(|task| matches!(task.phase, Phase::Waiting(_)));
                waiting.count() as f64 * core_millis(stage.demand.cpu, *expected)
            })
            .sum()
    }

    /// The agents whose upstreams a task of it has crashed, if it is to be given up for that.
    pub(super) fn crashed(&self) -> Option<String> {
        let mut tasks = self.tasks.iter().flatten();
        let at_fault = tasks.find(|task| task.crashed.len() >= crash::MOST)?;
        let agents = at_fault.crashed.iter().map(|crash| crash.agent.to_string());
        Some(agents.collect::<Vec<_>>().join(","))
    }

    /// The task that `attempt` is an attempt at, if it is the present one and at `agent`.
    pub(super) fn present(&mut self, agent: &Process, attempt: &Attempt) -> Option<&mut Task> {
        let stage = self.tasks.get_mut(attempt.stage as usize)?;
        let task = stage.get_mut(attempt.index as usize)?;
        let is_present = task.attempt == attempt.attempt && task.agent() == Some(agent);
        is_present.then_some(task)
    }

    /// The attempts that are at agents, by agent.
    pub(super) fn placed(&self) -> Vec<(Process, Attempt)> {
        let mut placed = Vec::new();
        for (stage, tasks) in self.tasks.iter().enumerate() {
            for (index, task) in tasks.iter().enumerate() {
                if let Some(agent) = task.agent() {
                    placed.push((agent.clone(), self.attempt(stage, index, task.attempt)));
                }
            }
        }
        placed
    }

    pub(super) fn attempt(&self, stage: usize, index: usize, attempt: u32) -> Attempt {
        Attempt {
            number: self.number,
            stage: u32::try_from(stage).unwrap_or(u32::MAX),
            index: u32::try_from(index).unwrap_or(u32::MAX),
            attempt,
        }
    }
}

/// Core-milliseconds of a task with this many thousandths of a core.
pub(super) fn core_millis(cpu: u64, expected: Duration) -> f64 {
    cpu as f64 / 1000.0 * expected.as_secs_f64() * 1000.0
}
