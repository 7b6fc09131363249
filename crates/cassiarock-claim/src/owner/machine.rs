//! The owner: its phases, placements and the final answer.

use super::event::{Action, Event, FailureReason, JobOutcome};
use super::gather::Gather;
use super::task::{Stand, Tasks};
use crate::Ballot;
use crate::guard;
use crate::message::{Outcome, Purpose, Start};
use crate::view::{JobScope, ViewHistory};
use cassiarock_id::{Job, Process, Task, Wall};
use std::collections::BTreeSet;

/// How far the owner has come.
#[derive(Debug)]
pub(super) enum Phase {
    /// Not submitted yet.
    Idle,
    /// The keeper was asked.
    Asking { purpose: Purpose, scope: JobScope },
    /// There is no view with agents yet.
    Blind(Purpose),
    /// Agents are being fenced.
    Gathering(Gather),
    /// The attempt owns the job: tasks may be placed.
    Owning,
    /// The job is closed at the keeper, or gathered empty; a witness is asked.
    Closing { witness: Option<Process> },
    /// Some tasks ran, and what is left is being closed at an agent that ran one.
    Sealing { witness: Process },
    /// Another attempt owns the job.
    Attached(Ballot),
    /// Answered.
    Done,
}

/// One entry's attempt to get one submission answered. It decides what may be started;
/// where, is the caller's business.
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
    /// The attempt, at the round that was last asked for or granted.
    pub(super) ballot: Ballot,
    pub(super) phase: Phase,
    /// What the views said when the attempt was granted or gathered.
    pub(super) scope: Option<JobScope>,
    pub(super) tasks: Tasks,
    /// Agents that can't run tasks of this job.
    pub(super) barred: BTreeSet<Process>,
    pub(super) lost: BTreeSet<Process>,
    /// Set once nothing more is to be started.
    pub(super) stop: Option<FailureReason>,
    /// Agents at which a task of the job ended.
    pub(super) ran: BTreeSet<Process>,
    /// Whether the job is closed for further starts, after some tasks ran.
    pub(super) sealed: bool,
    /// The attempt under which all that was pending has been cancelled.
    pub(super) withdrawn: Option<Ballot>,
}

impl Owner {
    /// The owner of a job of `tasks` tasks whose submission hashes to `digest`. `ballot`
    /// names the entry and a serial number that this entry never used before.
    #[must_use]
    pub fn new(job: Job, digest: u64, tasks: u16, ballot: Ballot) -> Self {
        Self {
            job,
            digest,
            ballot: ballot.with_round(Ballot::FRESH),
            phase: Phase::Idle,
            scope: None,
            tasks: Tasks::new(tasks),
            barred: BTreeSet::new(),
            lost: BTreeSet::new(),
            ran: BTreeSet::new(),
            sealed: false,
            stop: None,
            withdrawn: None,
        }
    }

    /// The attempt under which the owner acts now.
    #[must_use]
    pub const fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// Whether this owner holds `attempt`, or a later one of its own. Only then may others
    /// that were sent here wait for its answer: a keeper may name an attempt that was
    /// never taken up, and two entries would wait for each other.
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

    /// Whether the final answer was given.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    /// The agent that may run none of the tasks, because it keeps the claim.
    #[must_use]
    pub fn keeper(&self) -> Option<&Process> {
        self.scope.as_ref()?.excluded_keeper.as_ref()
    }

    /// Takes in an event and returns what is to be done.
    pub fn step(&mut self, event: Event, views: &ViewHistory, now: Wall) -> Vec<Action> {
        if self.is_done() {
            return Vec::new();
        }
        match event {
            Event::Submitted if self.stop.is_some() => self.ask(Purpose::Refuse, views, now),
            Event::Submitted => self.ask(Purpose::Claim, views, now),
            Event::Cancelled => self.cancel(views, now),
            Event::Expired => self.fail(FailureReason::Expired),
            Event::Retry => self.repeat(views, now),
            Event::ViewChanged => self.viewed(views, now),
            Event::ClaimReply { view, reply } => self.answered(view, reply, views, now),
            Event::Report { agent, report } => self.reported(&agent, report, views, now),
            Event::FenceRejected { agent, reject } => self.unfenced(&agent, &reject, views, now),
            Event::Rejected {
                ballot,
                task,
                placement,
                reject,
            } => self.rejected(&ballot, task, placement, reject, views, now),
            Event::Ended {
                ballot,
                task,
                outcome,
            } => self.ended(&ballot, task, outcome, views, now),
            Event::AgentUnreachable(agent) => self.lost(agent, views, now),
            Event::AgentReachable(agent) => self.back(&agent, views),
            Event::OwnerLost => self.replace(views, now),
        }
    }

    /// The tasks that may be placed now.
    pub fn startable_tasks(&self) -> impl Iterator<Item = Task> {
        let open = matches!(self.phase, Phase::Owning) && self.stop.is_none();
        self.tasks.free().filter(move |_| open)
    }

    /// Whether tasks of the job may be placed at `agent`: not its keeper, and one that
    /// every rival gather must reach. Under a grant that is a member in all views since
    /// the job's birth; under a gather a member since then is enough, because agents
    /// reject rivals that gather by an older view.
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
            && !self.barred.contains(agent)
            && views.is_member_since(agent, since)
    }

    /// Places a task; the message to be sent to `agent`, or `None` if it may not be.
    pub fn place(
        &mut self,
        task: Task,
        agent: &Process,
        start_by: Wall,
        views: &ViewHistory,
    ) -> Option<Start> {
        let open = matches!(self.phase, Phase::Owning) && self.stop.is_none();
        let free = matches!(self.tasks.get(task), Some(Stand::Free));
        if !open || !free || !self.may_place_at(agent, views) {
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
        let placed = Stand::Placed {
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

    fn cancel(&mut self, views: &ViewHistory, now: Wall) -> Vec<Action> {
        self.stop.get_or_insert(FailureReason::Cancelled);
        match &self.phase {
            Phase::Asking { purpose, .. } if *purpose == Purpose::Claim => {
                self.ask(Purpose::Refuse, views, now)
            }
            Phase::Blind(Purpose::Claim) => {
                self.phase = Phase::Blind(Purpose::Refuse);
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

    /// Other tasks have the id. Nothing of this submission ran if nothing was placed.
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

    /// The answer once every task has ended.
    pub(super) fn complete(&mut self) -> Vec<Action> {
        let outcomes = self.tasks.outcomes();
        let whole: Option<Vec<Outcome>> = outcomes.into_iter().collect();
        match whole {
            Some(outcomes) if !self.tasks.any_lost() => self.finish(JobOutcome::Complete(outcomes)),
            _ => self.fail(FailureReason::Lost),
        }
    }
}
