//! Attempts on one upstream.

use crate::message::{Attempt, Outcome, Start};
use crate::{Incarnation, Resources};
use cassiarock_id::{Name, Process};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// An attempt at a task, with the id by which the upstream knows its job.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Task {
    /// The job's id.
    pub job: Name,
    /// The attempt.
    pub attempt: Attempt,
}

impl Task {
    /// Builds a task from what the upstream reports, when no order for it is known.
    #[must_use]
    pub fn from_key(job: &Name, key: &AttemptKey) -> Self {
        let attempt = Attempt {
            number: 0,
            stage: key.stage,
            index: key.index,
            attempt: key.attempt,
        };
        Self {
            job: job.clone(),
            attempt,
        }
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Attempt {
            stage,
            index,
            attempt,
            ..
        } = self.attempt;
        write!(f, "{stage}.{index}#{attempt}")
    }
}

/// Identifies an attempt within its job, as the upstream reports it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct AttemptKey {
    /// The stage.
    pub stage: u32,
    /// The task within its stage.
    pub index: u32,
    /// The number of this start of the task.
    pub attempt: u32,
}

impl AttemptKey {
    /// Whether this key identifies `attempt`.
    #[must_use]
    pub const fn matches(&self, attempt: &Attempt) -> bool {
        self.stage == attempt.stage
            && self.index == attempt.index
            && self.attempt == attempt.attempt
    }
}

/// The upstream's response to the order to start a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartResponse {
    /// The task was started.
    Started,
    /// The upstream has too little free capacity.
    Full,
    /// The upstream has already seen a higher attempt number.
    Superseded,
    /// The upstream rejected the order and did nothing.
    Refused,
    /// No response came: the order may still be carried out.
    NoResponse,
}

/// The response to a poll of the upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// The incarnation that responded.
    pub incarnation: Incarnation,
    /// The upstream's clock in milliseconds.
    pub clock: u64,
    /// When the poll was sent, by the agent's clock.
    pub asked: Duration,
    /// The running attempts with their jobs.
    pub running: Vec<(Name, AttemptKey)>,
    /// The ended attempts: the number of the result, the job, the attempt and its outcome.
    pub ended: Vec<(u64, Name, AttemptKey, Outcome)>,
}

/// The phase of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The order to start it has been sent.
    Starting,
    /// The upstream has confirmed that it runs.
    Running,
    /// Its stop was ordered at this time.
    Stopping(Duration),
}

/// An attempt that an incarnation of the upstream may have started or not.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    /// When the upstream restarted.
    pub(super) since: Duration,
    /// How it ends if the next incarnation does not have it.
    pub(super) outcome: Outcome,
}

/// An attempt on the upstream.
#[derive(Clone, Debug)]
pub struct Run {
    pub(super) entry: Process,
    pub(super) request: Name,
    pub(super) demand: Resources,
    pub(super) expected: Duration,
    /// Attempts with the same value must not run together, as one of them may crash the upstream.
    pub(super) suspect: Option<Name>,
    pub(super) since: Duration,
    pub(super) phase: Phase,
    /// The time on the upstream's clock after which its order is void.
    pub(super) until: u64,
    /// Whether its start got no answer.
    pub(super) was_unanswered: bool,
    /// Whether the upstream has listed it as running.
    pub(super) is_listed: bool,
    /// When its entry was last in contact before it gave the task up; `None` while it waits for it.
    pub(super) given_up_since: Option<Duration>,
    /// When the upstream confirmed its stop.
    pub(super) stop_confirmed_at: Option<Duration>,
    /// Set if no poll had listed it when the upstream restarted: the next incarnation may have
    /// carried its order out, or may do so yet.
    pub(super) in_flight: Option<InFlight>,
}

impl Run {
    pub(super) fn new(
        entry: Process,
        request: Name,
        start: &Start,
        until: u64,
        now: Duration,
    ) -> Self {
        Self {
            entry,
            request,
            demand: start.demand,
            expected: start.expected,
            suspect: start.suspect.clone(),
            since: now,
            phase: Phase::Starting,
            until,
            was_unanswered: false,
            is_listed: false,
            given_up_since: None,
            stop_confirmed_at: None,
            in_flight: None,
        }
    }

    /// Marks it as one that a new incarnation of the upstream may have started or may still start.
    /// `outcome` is how it ends if that is not so and its start was answered.
    pub(super) fn into_in_flight(self, outcome: Outcome, now: Duration) -> Self {
        let was_answered = matches!(self.phase, Phase::Running);
        let in_flight = self.in_flight.unwrap_or(InFlight {
            since: now,
            outcome: if was_answered { outcome } else { Outcome::Lost },
        });
        Self {
            phase: Phase::Stopping(now),
            stop_confirmed_at: None,
            in_flight: Some(InFlight {
                since: now,
                ..in_flight
            }),
            ..self
        }
    }

    /// Whether a poll that does not list this attempt shows that its order can't be carried out any
    /// more: its stop was confirmed, or the upstream had restarted, before the poll was sent, or its
    /// time was over by the clock of the answer.
    pub(super) fn is_void_at(&self, snapshot: &Snapshot) -> bool {
        let restarted_at = self.in_flight.map(|in_flight| in_flight.since);
        let since = self.stop_confirmed_at.or(restarted_at);
        let is_too_late = self.was_unanswered && !self.is_listed && snapshot.clock > self.until;
        since.is_some_and(|at| at <= snapshot.asked) || is_too_late
    }
}

/// All attempts and the total resources that they take.
#[derive(Debug, Default)]
pub(super) struct Runs {
    runs: BTreeMap<Task, Run>,
    taken: Resources,
}

impl Runs {
    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    pub(super) const fn taken(&self) -> Resources {
        self.taken
    }

    pub(super) fn add(&mut self, task: Task, run: Run) {
        self.taken = self.taken.saturating_add(&run.demand);
        self.runs.insert(task, run);
    }

    pub(super) fn remove(&mut self, task: &Task) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.taken = self.taken.saturating_sub(&run.demand);
        Some(run)
    }

    /// Removes and returns the attempts that no poll has listed. An answer to a start names no
    /// incarnation, so that it does not tell which one runs the task.
    pub(super) fn take_unlisted(&mut self) -> Vec<(Task, Run)> {
        let runs = self.runs.iter();
        let unlisted = runs.filter(|(_, run)| !run.is_listed);
        let tasks: Vec<Task> = unlisted.map(|(task, _)| task.clone()).collect();
        let taken = tasks.into_iter();
        taken
            .filter_map(|task| Some((task.clone(), self.remove(&task)?)))
            .collect()
    }

    pub(super) fn get(&self, task: &Task) -> Option<&Run> {
        self.runs.get(task)
    }

    pub(super) fn get_mut(&mut self, task: &Task) -> Option<&mut Run> {
        self.runs.get_mut(task)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Task, &Run)> {
        self.runs.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&Task, &mut Run)> {
        self.runs.iter_mut()
    }

    /// The attempts of `entry`.
    pub(super) fn attempts_of<'a>(
        &'a self,
        entry: &'a Process,
    ) -> impl Iterator<Item = Attempt> + 'a {
        let runs = self.runs.iter();
        runs.filter(move |(_, run)| run.entry == *entry)
            .map(|(task, _)| task.attempt)
    }

    /// Whether a suspect of the same loss runs here.
    pub(super) fn has_suspect(&self, suspect: &Name) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.suspect.as_ref() == Some(suspect))
    }

    pub(super) fn has_entry(&self, entry: &Process) -> bool {
        self.runs.values().any(|run| run.entry == *entry)
    }

    pub(super) fn find(&self, entry: &Process, attempt: &Attempt) -> Option<Task> {
        let mut runs = self.runs.iter();
        let found = runs.find(|(task, run)| task.attempt == *attempt && run.entry == *entry);
        found.map(|(task, _)| task.clone())
    }

    /// Finds the attempt by the key that the upstream reports.
    pub(super) fn find_by_key(&self, job: &Name, key: &AttemptKey) -> Option<Task> {
        let tasks = self.runs.keys();
        let mut same = tasks.filter(|task| task.job == *job);
        same.find(|task| key.matches(&task.attempt)).cloned()
    }

    /// Finds another attempt at the same task, from any entry.
    pub(super) fn find_same_task(&self, task: &Task) -> Option<Task> {
        let tasks = self.runs.keys();
        let mut same = tasks.filter(|other| {
            other.job == task.job
                && other.attempt.stage == task.attempt.stage
                && other.attempt.index == task.attempt.index
        });
        same.next().cloned()
    }
}
