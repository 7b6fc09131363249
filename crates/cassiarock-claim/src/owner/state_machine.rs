//! The owner: its phases, its placements and its final result.

use super::event::{Action, Event, FailureReason, JobOutcome};
use super::gather::Gather;
use super::task::{TaskStatus, Tasks};
use crate::Ballot;
use crate::guard;
use crate::message::{Outcome, Purpose, Start};
use crate::view::{JobScope, ViewHistory};
use cassiarock_id::{Job, Process, Task, Wall};
use std::collections::BTreeSet;

/// The phase of an owner.
#[derive(Debug)]
pub(super) enum Phase {
    /// Not submitted yet.
    Idle,
    /// A claim request was sent to the keeper.
    AwaitingKeeper { purpose: Purpose, scope: JobScope },
    /// There is no view with members yet; the request waits for one.
    NoView(Purpose),
    /// Agents are being fenced.
    Gathering(Gather),
    /// The attempt owns the job: tasks may be placed.
    Owning,
    /// The job is closed at the keeper, or a gather found no started task; a witness is
    /// asked to close it too, once there is one.
    Closing { witness: Option<Process> },
    /// Some tasks ran, and the job is being closed at an agent that ran one.
    Sealing { witness: Process },
    /// Another attempt owns the job, and its answer is awaited.
    Attached(Ballot),
    /// The final result was given.
    Done,
}

/// One entry's attempt to get one submission answered. It decides which tasks may be
/// started; the code that drives it chooses the agents.
///
/// ```
/// use cassiarock_claim::message::{ClaimReply, Outcome};
/// use cassiarock_claim::owner::{Action, JobOutcome, Event, Owner};
/// use cassiarock_claim::view::{ViewHistory, Timing, View};
/// use cassiarock_claim::Ballot;
/// use cassiarock_id::{Job, Process, Task, Wall};
/// use std::time::Duration;
///
/// let lease = Duration::from_secs(2);
/// let timing = Timing::new(lease, Duration::ZERO, Duration::from_secs(600));
/// let now = Wall::from_millis(1_000_000);
/// let agents: Vec<_> = (0..3).map(|n| Process::new(format!("agent-{n}"), 1)).collect();
/// let mut views = ViewHistory::new(timing, now);
/// views.adopt(View::new(1, agents.clone()));
/// for agent in &agents {
///     views.confirm(agent, 1, lease, now, now);
/// }
///
/// let mine = Ballot::new(Ballot::FRESH, Process::new("entry-1", 1)).with_serial(1);
/// let mut owner = Owner::new(Job::with_bits(now, 1), 9, 1, mine.clone());
/// let asked = owner.step(Event::Submitted, &views, now);
/// assert!(matches!(asked[..], [Action::RequestClaim { .. }]));
/// let granted = Event::ClaimReply { view: 1, reply: ClaimReply::Granted(mine) };
/// assert_eq!(owner.step(granted, &views, now), [Action::Place]);
/// let ballot = owner.ballot().clone();
/// let agent = agents.iter().find(|agent| owner.may_place_at(agent, &views)).unwrap();
/// assert!(owner.place(Task(0), agent, now, &views).is_some());
/// let done = Outcome::Done(b"ok".to_vec());
/// let ended = Event::Ended { ballot, task: Task(0), outcome: done.clone() };
/// let end = JobOutcome::Complete(vec![done]);
/// assert_eq!(owner.step(ended, &views, now), [Action::Finish(end)]);
/// ```
#[derive(Debug)]
pub struct Owner {
    pub(super) job: Job,
    pub(super) digest: u64,
    /// The attempt, in the round that was last requested or granted.
    pub(super) ballot: Ballot,
    pub(super) phase: Phase,
    /// The job's scope when the attempt was granted or gathered.
    pub(super) scope: Option<JobScope>,
    pub(super) tasks: Tasks,
    /// Agents that can't run tasks of this job.
    pub(super) unusable_agents: BTreeSet<Process>,
    pub(super) unreachable: BTreeSet<Process>,
    /// Why nothing more may be started; none while tasks may.
    pub(super) stop_reason: Option<FailureReason>,
    /// Agents at which a task of the job ended.
    pub(super) ran_at: BTreeSet<Process>,
    /// Whether the job was closed after some tasks had run.
    pub(super) sealed: bool,
    /// The attempt under which all pending tasks were cancelled.
    pub(super) cancelled_under: Option<Ballot>,
}

impl Owner {
    /// An owner of a job of `tasks` tasks whose submission hashes to `digest`. `ballot`
    /// holds the entry and a serial number that this entry has never used before.
    #[must_use]
    pub fn new(job: Job, digest: u64, tasks: u16, ballot: Ballot) -> Self {
        Self {
            job,
            digest,
            ballot: ballot.with_round(Ballot::FRESH),
            phase: Phase::Idle,
            scope: None,
            tasks: Tasks::new(tasks),
            unusable_agents: BTreeSet::new(),
            unreachable: BTreeSet::new(),
            ran_at: BTreeSet::new(),
            sealed: false,
            stop_reason: None,
            cancelled_under: None,
        }
    }

    /// The attempt under which the owner currently acts.
    #[must_use]
    pub const fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// Whether this owner holds `attempt` or a later one of its own. Only then may entries
    /// that were sent here wait for its answer: a keeper may name an attempt whose owner
    /// never learned of it, and two entries would wait for each other.
    #[must_use]
    pub fn holds(&self, attempt: &Ballot) -> bool {
        self.ballot.same_owner(attempt) && self.ballot >= *attempt
    }

    /// The attempt to which this one is attached.
    #[must_use]
    pub const fn attached_to(&self) -> Option<&Ballot> {
        match &self.phase {
            Phase::Attached(owner) => Some(owner),
            _ => None,
        }
    }

    /// Whether the final result was given.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    /// The keeper that must not run tasks of the job, if there is one.
    #[must_use]
    pub fn keeper(&self) -> Option<&Process> {
        self.scope.as_ref()?.excluded_keeper.as_ref()
    }

    /// Handles an event and returns the actions that follow from it.
    pub fn step(&mut self, event: Event, views: &ViewHistory, now: Wall) -> Vec<Action> {
        if self.is_done() {
            return Vec::new();
        }
        match event {
            Event::Submitted if self.stop_reason.is_some() => {
                self.request_claim(Purpose::Refuse, views, now)
            }
            Event::Submitted => self.request_claim(Purpose::Claim, views, now),
            Event::Cancelled => self.handle_cancelled(views, now),
            Event::Expired => self.fail(FailureReason::Expired),
            Event::Retry => self.handle_retry(views, now),
            Event::ViewChanged => self.handle_view_changed(views, now),
            Event::ClaimReply { view, reply } => self.handle_claim_reply(view, reply, views, now),
            Event::Report { agent, report } => self.handle_report(&agent, report, views, now),
            Event::FenceRejected { agent, reject } => {
                self.handle_fence_rejected(&agent, &reject, views, now)
            }
            Event::Rejected {
                ballot,
                task,
                placement,
                reject,
            } => self.handle_rejected(&ballot, task, placement, reject, views, now),
            Event::Ended {
                ballot,
                task,
                outcome,
            } => self.handle_ended(&ballot, task, outcome, views, now),
            Event::AgentUnreachable(agent) => self.handle_agent_unreachable(agent, views, now),
            Event::AgentReachable(agent) => self.handle_agent_reachable(&agent, views),
            Event::OwnerLost => self.replace_owner(views, now),
        }
    }

    /// The tasks that may be placed now.
    pub fn startable_tasks(&self) -> impl Iterator<Item = Task> {
        let may_start = matches!(self.phase, Phase::Owning) && self.stop_reason.is_none();
        self.tasks.free().filter(move |_| may_start)
    }

    /// Whether tasks of the job may be placed at `agent`: it must not be the excluded keeper,
    /// and every rival gather must reach it. Under a grant it must have been a member in
    /// every view since the oldest one under which the job can have been started. After a
    /// gather it is enough to be a member since the gather's view, because agents reject
    /// rivals that gather under an older one.
    #[must_use]
    pub fn may_place_at(&self, agent: &Process, views: &ViewHistory) -> bool {
        let Some(scope) = &self.scope else {
            return false;
        };
        let granted = self.ballot.round == Ballot::FRESH;
        let since = if granted {
            scope.oldest_view
        } else {
            scope.view
        };
        !guard::is_keeper(scope.excluded_keeper.as_ref() == Some(agent))
            && !self.unusable_agents.contains(agent)
            && views.is_member_since(agent, since)
    }

    /// Places a task. Returns the message to send to `agent`, or `None` if the task may not
    /// be placed there.
    pub fn place(
        &mut self,
        task: Task,
        agent: &Process,
        start_by: Wall,
        views: &ViewHistory,
    ) -> Option<Start> {
        let may_start = matches!(self.phase, Phase::Owning) && self.stop_reason.is_none();
        let is_free = matches!(self.tasks.get(task), Some(TaskStatus::Free));
        if !may_start || !is_free || !self.may_place_at(agent, views) {
            return None;
        }
        let scope = self.scope.as_ref()?;
        let start = Start {
            job: self.job,
            digest: self.digest,
            ballot: self.ballot.clone(),
            keeper: scope.excluded_keeper.clone(),
            view: scope.view,
            task,
            placement: self.tasks.next_placement(task),
            start_by,
        };
        let placed = TaskStatus::Placed {
            agent: agent.clone(),
            start: start.clone(),
        };
        self.tasks.set(task, placed);
        Some(start)
    }

    pub(super) fn attach(&mut self, owner: Ballot) -> Vec<Action> {
        self.phase = Phase::Attached(owner.clone());
        vec![Action::Attach(owner)]
    }

    fn handle_cancelled(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        self.stop_reason.get_or_insert(FailureReason::Cancelled);
        match &self.phase {
            Phase::AwaitingKeeper { purpose, .. } if *purpose == Purpose::Claim => {
                self.request_claim(Purpose::Refuse, views, now)
            }
            Phase::NoView(Purpose::Claim) => {
                self.phase = Phase::NoView(Purpose::Refuse);
                Vec::new()
            }
            Phase::Owning => self.progress(views, now),
            _ => Vec::new(),
        }
    }

    pub(super) fn finish(&mut self, end: JobOutcome) -> Vec<Action> {
        self.phase = Phase::Done;
        vec![Action::Finish(end)]
    }

    /// The id belongs to a job with other tasks. No task of this submission ran if none was
    /// placed.
    pub(super) fn mismatch(&mut self) -> Vec<Action> {
        if self.tasks.any_ended() || self.tasks.pending().next().is_some() {
            return self.fail(FailureReason::Mismatch);
        }
        self.finish(JobOutcome::Mismatch)
    }

    pub(super) fn fail(&mut self, reason: FailureReason) -> Vec<Action> {
        let outcomes = self.tasks.outcomes();
        self.finish(JobOutcome::Failed { reason, outcomes })
    }

    /// Finishes the job once every task has ended.
    pub(super) fn complete(&mut self) -> Vec<Action> {
        let outcomes = self.tasks.outcomes();
        let whole: Option<Vec<Outcome>> = outcomes.into_iter().collect();
        match whole {
            Some(outcomes) if !self.tasks.any_lost() => self.finish(JobOutcome::Complete(outcomes)),
            _ => self.fail(FailureReason::Lost),
        }
    }
}
