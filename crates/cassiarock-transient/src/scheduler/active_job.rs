//! The state of a job between its admission and its answer.

use super::fault::crash::{self, Loss};
use super::queue::rank::Rank;
use crate::message::Attempt;
use crate::{Job, JobClass};
use cassiarock_id::{Name, Process};
use std::sync::Arc;
use std::time::Duration;

/// An answer is late up to this many times the objective of its job. After that it is worth
/// nothing to the caller.
const MAX_LATENESS: u32 = 3;

/// The safety factor on the critical path. Jobs run longer than expected about as often as
/// shorter, since estimates are off by 40%: of those that started just early enough by the
/// expected time, half were late.
const SAFETY_FACTOR: f64 = 1.3;

/// One job in this many goes by its latest start alone. Otherwise the least urgent queue would get
/// nothing while the most urgent one fills the system.
const FAIR_SHARE_DIVISOR: u64 = 8;

/// A late answer is worth one in this many of an answer in time.
const LATE_WORTH: u32 = 5;

/// The phase of a task.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// The task can be placed from this time on.
    Waiting(Duration),
    /// The task was placed at an agent at this time.
    Placed(Process, Duration),
    /// The task is being stopped at an agent since this time, to be placed again.
    Moving(Process, Duration),
    /// The task is done.
    Done,
}

/// A task of a job.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) phase: Phase,
    /// The number of the current attempt, or of the next one if the task waits.
    pub(super) attempt: u32,
    pub(super) failures: u32,
    /// The agents where it failed or was refused. Its next attempt goes there only as a last
    /// resort.
    pub(super) avoided: Vec<Process>,
    /// The losses of upstreams that it may have caused.
    pub(super) crashes: Vec<Loss>,
    /// How often an agent has refused it since the last crash.
    pub(super) refusals: u32,
    /// How often it was moved away from an upstream where it ran too long.
    pub(super) moves: u32,
}

impl Task {
    const fn new() -> Self {
        Self {
            phase: Phase::Waiting(Duration::ZERO),
            attempt: 1,
            failures: 0,
            avoided: Vec::new(),
            crashes: Vec::new(),
            refusals: 0,
            moves: 0,
        }
    }

    /// The loss that the task is suspected of, by the name of the agent. It is `None` after too
    /// many refusals, so that the task may run beside any other.
    pub(super) fn suspected_loss(&self) -> Option<Name> {
        let last = self.crashes.last()?;
        (self.refusals < crash::MAX_REFUSALS).then(|| last.agent.name.clone())
    }

    /// The losses of upstreams that were crashes.
    pub(super) fn confirmed_crashes(&self) -> impl Iterator<Item = &Loss> {
        self.crashes.iter().filter(|crash| crash.is_confirmed)
    }

    /// Whether too many upstreams may have crashed under it to place it before that is settled.
    pub(super) const fn awaits_verdict(&self) -> bool {
        self.crashes.len() >= crash::MAX_CRASHES
    }

    /// Changes the crashes under it. If it no longer awaits a verdict, its next attempt need not wait.
    pub(super) fn settle(&mut self, change: impl FnOnce(&mut Vec<Loss>)) {
        let awaited_verdict = self.awaits_verdict();
        change(&mut self.crashes);
        if let Phase::Waiting(from) = &mut self.phase
            && awaited_verdict
            && self.crashes.len() < crash::MAX_CRASHES
        {
            *from = Duration::ZERO;
        }
    }

    /// Delays its next attempt if it awaits a verdict.
    pub(super) fn wait_for_verdict(&mut self) {
        if let Some(last) = self.crashes.last().filter(|_| self.awaits_verdict()) {
            self.phase = Phase::Waiting(last.at + crash::VERDICT_TIMEOUT);
        }
    }

    /// The agent that has the task, if any.
    pub(super) const fn agent(&self) -> Option<&Process> {
        match &self.phase {
            Phase::Placed(agent, _) | Phase::Moving(agent, _) => Some(agent),
            Phase::Waiting(_) | Phase::Done => None,
        }
    }
}

/// An admitted job that is not answered yet.
#[derive(Clone, Debug)]
pub(super) struct ActiveJob {
    pub(super) number: u64,
    pub(super) job: Job,
    pub(super) class: Arc<JobClass>,
    pub(super) arrived: Duration,
    /// Until when an answer is on time.
    pub(super) on_time_until: Duration,
    /// Until when an answer is worth anything.
    pub(super) useful_until: Duration,
    /// When the caller leaves.
    pub(super) caller_deadline: Duration,
    /// The duration of the longest chain of stages, corrected by the run times of the route.
    pub(super) critical_path: Duration,
    /// How long tasks run on the fastest kind of upstream, relative to the expected run time.
    pub(super) fastest: f64,
    /// Whether tasks may wait for the fastest kind.
    pub(super) may_wait_for_fastest: bool,
    /// The ratio of run times to the caller's estimates on upstreams of the mean speed.
    pub(super) ratio: f64,
    /// The expected run time of a task of each stage on upstreams of the mean speed.
    pub(super) expected: Vec<Duration>,
    /// Whether the caller had waited before it submitted the job, so that the answer will be late.
    pub(super) has_waited: bool,
    /// Whether any task has been placed.
    pub(super) was_placed: bool,
    /// Whether it was not fully placed by its latest start.
    pub(super) is_late: bool,
    /// The tasks of each stage.
    pub(super) tasks: Vec<Vec<Task>>,
    /// Whether an attempt that has ended ran, or may have.
    pub(super) has_run: bool,
    /// The number of tasks that are not done.
    pub(super) tasks_left: u32,
    pub(super) retries: u32,
}

impl ActiveJob {
    /// Creates the state of a new job. `ratio` is the ratio of run times to the callers' estimates
    /// on the route.
    pub(super) fn new(
        number: u64,
        job: Job,
        class: Arc<JobClass>,
        patience: Duration,
        ratio: f64,
        now: Duration,
    ) -> Self {
        let critical_path = job.critical_path().mul_f64(ratio);
        let objective = critical_path.mul_f64(class.slack_factor) + class.target_latency;
        let tasks = |stage: &crate::Stage| vec![Task::new(); stage.task_count as usize];
        Self {
            number,
            arrived: now,
            on_time_until: now + objective.min(patience),
            useful_until: now + (objective * MAX_LATENESS).min(patience),
            caller_deadline: now + patience,
            critical_path,
            ratio,
            fastest: 1.0,
            may_wait_for_fastest: false,
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
            tasks_left: job.task_count(),
            retries: 0,
            job,
            class,
        }
    }

    /// Sets whether the caller had waited before it submitted the job.
    pub(super) fn with_waited(self, has_waited: bool) -> Self {
        Self { has_waited, ..self }
    }

    /// Sets the ratio of run times to the caller's estimates on the fastest kind of upstream.
    pub(super) fn with_fastest_ratio(self, fastest: Option<f64>) -> Self {
        Self {
            may_wait_for_fastest: fastest.is_some(),
            fastest: fastest.map_or(1.0, |fastest| (fastest / self.ratio).min(1.0)),
            ..self
        }
    }

    /// The latest start with which the job is expected to be on time, on the fastest kind of
    /// upstream.
    pub(super) fn latest_start(&self) -> Duration {
        self.on_time_until
            .saturating_sub(self.critical_path.mul_f64(SAFETY_FACTOR * self.fastest))
    }

    /// The rank in the queue.
    pub(super) fn rank(&self) -> Rank {
        Rank {
            is_late: self.is_late,
            is_unstarted: !self.was_placed,
            has_waited: self.has_waited,
            urgency: self.urgency(),
            latest_start: self.latest_start(),
            number: self.number,
        }
    }

    /// The operators' priority, or the highest one for a fair share of all jobs.
    pub(super) fn urgency(&self) -> u32 {
        if self.number.is_multiple_of(FAIR_SHARE_DIVISOR) {
            0
        } else {
            self.class.priority
        }
    }

    /// Whether a started job keeps its rank though its latest start has passed: it can still be on
    /// time, or few of its tasks are left to place. Behind all others its last tasks would find no
    /// room, and the work done so far would be lost.
    pub(super) fn is_worth_finishing(&self, now: Duration) -> bool {
        if !self.was_placed {
            return false;
        }
        let tasks = self.tasks.iter().flatten();
        let waiting = tasks.filter(|task| matches!(task.phase, Phase::Waiting(_)));
        now + self.critical_path <= self.on_time_until
            || waiting.count() as u32 * LATE_WORTH <= self.job.task_count()
    }

    /// Whether the job cannot be done in time any more. A job whose tasks all run or are done is
    /// left to finish until its caller leaves: the answer is late, but costs nothing more.
    pub(super) fn is_hopeless(&self, now: Duration) -> bool {
        now >= self.caller_deadline
            || self.has_waiting() && now + self.min_time_left() >= self.useful_until
    }

    /// The least time until the end of the job that can be told: the whole run time if nothing has
    /// started.
    pub(super) fn min_time_left(&self) -> Duration {
        if self.may_have_run() {
            Duration::ZERO
        } else {
            self.critical_path
        }
    }

    /// Whether any task may have started. A task that is placed at an agent may run. Only a job of
    /// which nothing may have run can be refused.
    pub(super) fn may_have_run(&self) -> bool {
        let mut tasks = self.tasks.iter().flatten();
        self.has_run || tasks.any(|task| task.agent().is_some())
    }

    /// The expected time from the end of a stage to the end of the job.
    pub(super) fn time_after(&self, stage: usize) -> Duration {
        let mut after = vec![Duration::ZERO; self.expected.len()];
        for (index, later) in self.job.stages.iter().enumerate().rev() {
            let chain = after[index].saturating_add(self.expected[index]);
            for dependency in &later.dependencies {
                if let Some(after) = after.get_mut(*dependency) {
                    *after = chain.max(*after);
                }
            }
        }
        after.get(stage).copied().unwrap_or_default()
    }

    /// Whether all dependencies of a stage are done.
    pub(super) fn is_stage_ready(&self, stage: usize) -> bool {
        let is_done = |dependency: &usize| {
            let tasks = self.tasks.get(*dependency);
            tasks.is_some_and(|tasks| tasks.iter().all(|task| task.phase == Phase::Done))
        };
        self.job.stages[stage].dependencies.iter().all(is_done)
    }

    /// The tasks that can be placed now, by stage and index.
    pub(super) fn ready_tasks(&self, now: Duration) -> Vec<(usize, usize)> {
        let mut ready = Vec::new();
        for stage in 0..self.tasks.len() {
            if !self.is_stage_ready(stage) {
                continue;
            }
            let tasks = self.tasks[stage].iter().enumerate();
            let waiting =
                tasks.filter(|(_, task)| matches!(task.phase, Phase::Waiting(from) if from <= now));
            ready.extend(waiting.map(|(index, _)| (stage, index)));
        }
        ready
    }

    /// Whether any task waits, including those that cannot be placed yet.
    pub(super) fn has_waiting(&self) -> bool {
        let mut tasks = self.tasks.iter().flatten();
        tasks.any(|task| matches!(task.phase, Phase::Waiting(_)))
    }

    /// The expected processor time of the waiting tasks, in core-milliseconds.
    pub(super) fn waiting_core_millis(&self) -> f64 {
        let stages = self.job.stages.iter().zip(&self.tasks).zip(&self.expected);
        stages
            .map(|((stage, tasks), expected)| {
                let waiting = tasks.iter();
                let waiting = waiting.filter(|task| matches!(task.phase, Phase::Waiting(_)));
                waiting.count() as f64 * core_millis(stage.demand.cpu, *expected)
            })
            .sum()
    }

    /// The agents whose upstreams a task has crashed, if that is a reason to give up the job.
    pub(super) fn crashed_agents(&self) -> Option<String> {
        let mut tasks = self.tasks.iter().flatten();
        let at_fault = tasks.find(|task| task.confirmed_crashes().count() >= crash::MAX_CRASHES)?;
        let agents = at_fault
            .confirmed_crashes()
            .map(|crash| crash.agent.to_string());
        Some(agents.collect::<Vec<_>>().join(","))
    }

    /// The task of `attempt`, if that is its current attempt and placed at `agent`.
    pub(super) fn current_task(&mut self, agent: &Process, attempt: &Attempt) -> Option<&mut Task> {
        let stage = self.tasks.get_mut(attempt.stage as usize)?;
        let task = stage.get_mut(attempt.index as usize)?;
        let is_current = task.attempt == attempt.attempt && task.agent() == Some(agent);
        is_current.then_some(task)
    }

    /// The attempts that are placed at agents.
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

/// The core-milliseconds of a task that takes this many thousandths of a core.
pub(super) fn core_millis(cpu: u64, expected: Duration) -> f64 {
    cpu as f64 / 1000.0 * expected.as_secs_f64() * 1000.0
}
