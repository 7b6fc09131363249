//! Jobs that run under a claim: passes events to their owners and carries out the actions
//! that the owners return.

use super::pending::{PendingJob, Plan, StopReason};
use super::{Action, State, answer, calls};
use cassiarock_claim::message::{ClaimRequest, Outcome, Start};
use cassiarock_claim::owner::{self, Event};
use cassiarock_id::{Job, Process, Task};
use cassiarock_policy::dispatch;
use cassiarock_policy::place::TaskKey;
use cassiarock_process::Now;
use cassiarock_wire::{Answered, Ended, Frame, Rejected, Reported, Run, TaskStart};
use std::time::Duration;

/// How long after the deadline to wait for the proof that nothing ran. The answer is due at
/// the deadline, but one more round trip turns most "may have run" into a proven "not run".
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

impl State {
    /// Passes an event to the owner of a job.
    pub(super) fn step_owner(&mut self, job: Job, event: Event, now: Now) -> Vec<Action> {
        let Some(pending) = self.pending_jobs.get_mut(&job) else {
            return Vec::new();
        };
        let Plan::AtMostOnce(owner) = &mut pending.plan else {
            return Vec::new();
        };
        let wanted = owner.step(event, &self.views, now.wall);
        let mut actions = Vec::new();
        for action in wanted {
            actions.extend(self.carry_out(job, action, now));
        }
        actions
    }

    /// Passes an event to the owners of all jobs.
    pub(super) fn step_owners(&mut self, event: &Event, now: Now) -> Vec<Action> {
        let jobs: Vec<Job> = self.pending_jobs.keys().copied().collect();
        let mut actions = Vec::new();
        for job in jobs {
            actions.extend(self.step_owner(job, event.clone(), now));
        }
        actions
    }

    /// Handles the retries and deadlines that are due.
    pub(super) fn check_due_jobs(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((at, job)) = self.timers.first().copied() {
            if at > now.up {
                break;
            }
            actions.extend(self.check_job(job, now));
        }
        actions
    }

    pub(super) fn handle_answered(&mut self, answered: Answered, now: Now) -> Vec<Action> {
        let job = answered.job;
        if !self.matches_attempt(job, |owner| owner.same_owner(&answered.ballot)) {
            return Vec::new();
        }
        self.set_owner_address(job, answered.owner);
        let event = Event::ClaimReply {
            view: answered.view,
            reply: answered.answer,
        };
        self.step_owner(job, event, now)
    }

    pub(super) fn handle_reported(
        &mut self,
        agent: &Process,
        reported: Reported,
        now: Now,
    ) -> Vec<Action> {
        let job = reported.job;
        if !self.matches_attempt(job, |owner| *owner == reported.ballot) {
            return Vec::new();
        }
        self.set_owner_address(job, reported.owner);
        let agent = agent.clone();
        let event = match reported.report {
            Ok(report) => Event::Report { agent, report },
            Err(reject) => Event::FenceRejected { agent, reject },
        };
        self.step_owner(job, event, now)
    }

    pub(super) fn handle_ended(&mut self, agent: &Process, ended: Ended, now: Now) -> Vec<Action> {
        let key = TaskKey::new(ended.job, ended.task);
        let end = dispatch_outcome(&ended);
        if let Some(pool) = self.pool_of(agent) {
            pool.end(agent, &key, end, ended.load, now.up);
        }
        let Some(pending) = self.pending_jobs.get_mut(&ended.job) else {
            metrics::counter!("cassiarock_entry_late_outcomes_total").increment(1);
            return Vec::new();
        };
        if ended.task.index() >= pending.submission.tasks.len() {
            return Vec::new();
        }
        if let Outcome::Failed(reason) = &ended.outcome {
            pending.failure.get_or_insert((ended.task, reason.clone()));
        }
        let failed = pending.failure.is_some() && pending.stopped.is_none();
        let (ballot, task, outcome) = (ended.ballot, ended.task, ended.outcome);
        let mut actions = match &pending.plan {
            Plan::AtMostOnce(_) => {
                let event = Event::Ended {
                    ballot,
                    task,
                    outcome,
                };
                self.step_owner(ended.job, event, now)
            }
            Plan::Repeatable(_) => {
                self.handle_repeatable_end(ended.job, &ballot, task, outcome, now)
            }
        };
        if failed {
            // The job can no longer be complete: running its other tasks would be wasted work.
            actions.extend(self.stop(ended.job, StopReason::Failed, now));
        }
        actions
    }

    pub(super) fn handle_rejected(
        &mut self,
        agent: &Process,
        rejected: Rejected,
        now: Now,
    ) -> Vec<Action> {
        let key = TaskKey::new(rejected.job, rejected.task);
        if let Some(pool) = self.pool_of(agent) {
            pool.reject(agent, &key, rejected.load, now.up);
        }
        let Some(pending) = self.pending_jobs.get(&rejected.job) else {
            return Vec::new();
        };
        if matches!(pending.plan, Plan::Repeatable(_)) {
            return self.handle_repeatable_reject(&rejected, now);
        }
        let event = Event::Rejected {
            ballot: rejected.ballot,
            task: rejected.task,
            placement: rejected.placement,
            reject: rejected.reject,
        };
        self.step_owner(rejected.job, event, now)
    }

    fn check_job(&mut self, job: Job, now: Now) -> Vec<Action> {
        let Some(pending) = self.pending_jobs.get(&job) else {
            self.timers.retain(|(_, other)| *other != job);
            return Vec::new();
        };
        if pending.expires > now.up {
            self.update_timer(job, |pending| {
                pending.retry = now.up + calls::RETRY_INTERVAL
            });
            return self.retry(job, now);
        }
        if pending.stopped.is_some() {
            // The grace time is over, or the deadline of a cancelled job passed.
            return self.expire(job, now);
        }
        self.update_timer(job, |pending| {
            pending.expires = now.up + DEADLINE_GRACE;
            pending.retry = pending.expires;
        });
        self.stop(job, StopReason::Deadline, now)
    }

    fn retry(&mut self, job: Job, now: Now) -> Vec<Action> {
        if self.is_owner_link_overdue(job, now) {
            return self.take_over(job, now);
        }
        self.step_owner(job, Event::Retry, now)
    }

    fn expire(&mut self, job: Job, now: Now) -> Vec<Action> {
        match &self.pending_jobs[&job].plan {
            Plan::AtMostOnce(_) => self.step_owner(job, Event::Expired, now),
            Plan::Repeatable(_) => self.expire_repeatable(job, now),
        }
    }

    fn carry_out(&mut self, job: Job, action: owner::Action, now: Now) -> Vec<Action> {
        match action {
            owner::Action::RequestClaim { keeper, request } => {
                self.request_claim(keeper, request, now)
            }
            owner::Action::Fence { agent, fence } => {
                metrics::counter!("cassiarock_entry_fences_total").increment(1);
                vec![Action::Send(agent, Frame::Fence(fence))]
            }
            owner::Action::Start { agent, start } => {
                let run = self
                    .pending_jobs
                    .get(&job)
                    .map(|pending| repeated_run(pending, &start, now));
                let frame = run.map(|run| Frame::Run {
                    runs: vec![run],
                    ask: cassiarock_policy::load::SlotDemand::default(),
                });
                let sent = frame.map(|frame| Action::Send(agent, frame));
                sent.into_iter().collect()
            }
            owner::Action::Cancel { agent, cancel } => {
                vec![Action::Send(agent, Frame::Cancel(cancel))]
            }
            owner::Action::Place => {
                self.release_startable(job, now);
                Vec::new()
            }
            owner::Action::Attach(owner) => self.attach_to_owner(job, owner, now),
            owner::Action::Finish(end) => {
                let Some(pending) = self.pending_jobs.get(&job) else {
                    return Vec::new();
                };
                let answer = answer::from_outcome(pending, end);
                self.finish(job, answer, now)
            }
        }
    }

    /// Sends a claim request to the keeper, or reports the keeper as unreachable at once.
    fn request_claim(&mut self, keeper: Process, request: ClaimRequest, now: Now) -> Vec<Action> {
        if self.agents.contains_key(&keeper) {
            metrics::counter!("cassiarock_entry_asks_total").increment(1);
            return vec![Action::Send(keeper, Frame::Ask(request))];
        }
        self.step_owner(request.job, Event::AgentUnreachable(keeper), now)
    }

    /// Queues the tasks that may start and are not queued yet.
    fn release_startable(&mut self, job: Job, now: Now) {
        let Some(pending) = self.pending_jobs.get(&job) else {
            return;
        };
        let Plan::AtMostOnce(owner) = &pending.plan else {
            return;
        };
        let startable: Vec<Task> = owner.startable_tasks().collect();
        let pool = pending.pool.clone();
        // The owner knows which tasks may start, the pool which are queued already: withdrawing
        // first avoids queueing a task twice.
        self.pool(&pool).withdraw(job);
        self.release(job, startable, now);
    }

    fn matches_attempt(&self, job: Job, same: impl Fn(&cassiarock_claim::Ballot) -> bool) -> bool {
        let Some(pending) = self.pending_jobs.get(&job) else {
            return false;
        };
        match &pending.plan {
            Plan::AtMostOnce(owner) => same(owner.ballot()),
            Plan::Repeatable(_) => false,
        }
    }
}

fn dispatch_outcome(ended: &Ended) -> dispatch::Outcome {
    match &ended.outcome {
        Outcome::Done(_) => dispatch::Outcome::Done(Duration::from_millis(ended.ran_ms)),
        Outcome::Failed(_) => dispatch::Outcome::Failed,
        Outcome::Lost(_) => dispatch::Outcome::Lost,
    }
}

fn repeated_run(pending: &PendingJob, start: &Start, now: Now) -> Run {
    let left = pending.expires.saturating_sub(now.up);
    Run {
        job: start.job,
        digest: start.digest,
        ballot: start.ballot.clone(),
        keeper: start.keeper.clone(),
        view: start.view,
        start_by: start.start_by,
        kind: pending.submission.kind.clone(),
        limit_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        tasks: vec![TaskStart {
            task: start.task,
            placement: start.placement,
            lateness: 0,
            may_wait: true,
            payload: pending.submission.tasks[start.task.index()]
                .payload
                .to_vec(),
        }],
    }
}
