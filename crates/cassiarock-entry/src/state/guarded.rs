//! Carries out what the owners of jobs decide.

use super::work::{Plan, Stop, Work};
use super::{Action, State, answer, calls};
use cassiarock_claim::message::{ClaimRequest, Outcome, Start};
use cassiarock_claim::owner::{self, Event};
use cassiarock_id::{Job, Process, Task};
use cassiarock_policy::dispatch;
use cassiarock_policy::place::TaskKey;
use cassiarock_process::Now;
use cassiarock_wire::{Answered, Ended, Frame, Rejected, Reported, Run, TaskStart};
use std::time::Duration;

/// How long after the deadline the proof that nothing ran may still come. An answer is
/// due at once, but a round trip turns most "may have run" into a true "not run".
const GRACE: Duration = Duration::from_millis(50);

impl State {
    /// Takes an owner one step on.
    pub(super) fn step(&mut self, job: Job, event: Event, now: Now) -> Vec<Action> {
        let Some(work) = self.works.get_mut(&job) else {
            return Vec::new();
        };
        let Plan::Once(owner) = &mut work.plan else {
            return Vec::new();
        };
        let wanted = owner.step(event, &self.views, now.wall);
        let mut actions = Vec::new();
        for action in wanted {
            actions.extend(self.carry_out(job, action, now));
        }
        actions
    }

    /// Takes every owner one step on.
    pub(super) fn step_all(&mut self, event: &Event, now: Now) -> Vec<Action> {
        let jobs: Vec<Job> = self.works.keys().copied().collect();
        let mut actions = Vec::new();
        for job in jobs {
            actions.extend(self.step(job, event.clone(), now));
        }
        actions
    }

    /// Repeats and deadlines that are due.
    pub(super) fn wake_works(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((at, job)) = self.wakes.first().copied() {
            if at > now.up {
                break;
            }
            actions.extend(self.wake_work(job, now));
        }
        actions
    }

    pub(super) fn answered(&mut self, answered: Answered, now: Now) -> Vec<Action> {
        let job = answered.job;
        if !self.is_attempt(job, |owner| owner.same_owner(&answered.ballot)) {
            return Vec::new();
        }
        self.note_address(job, answered.owner);
        let event = Event::ClaimReply {
            view: answered.view,
            reply: answered.answer,
        };
        self.step(job, event, now)
    }

    pub(super) fn reported(
        &mut self,
        agent: &Process,
        reported: Reported,
        now: Now,
    ) -> Vec<Action> {
        let job = reported.job;
        if !self.is_attempt(job, |owner| *owner == reported.ballot) {
            return Vec::new();
        }
        self.note_address(job, reported.owner);
        let agent = agent.clone();
        let event = match reported.report {
            Ok(report) => Event::Report { agent, report },
            Err(reject) => Event::FenceRejected { agent, reject },
        };
        self.step(job, event, now)
    }

    pub(super) fn ended(&mut self, agent: &Process, ended: Ended, now: Now) -> Vec<Action> {
        let key = TaskKey::new(ended.job, ended.task);
        let end = end(&ended);
        if let Some(pool) = self.pool_of(agent) {
            pool.end(agent, &key, end, ended.load, now.up);
        }
        let Some(work) = self.works.get_mut(&ended.job) else {
            metrics::counter!("cassiarock_entry_late_outcomes_total").increment(1);
            return Vec::new();
        };
        if ended.task.index() >= work.submission.tasks.len() {
            return Vec::new();
        }
        if let Outcome::Failed(reason) = &ended.outcome {
            work.failure.get_or_insert((ended.task, reason.clone()));
        }
        let failed = work.failure.is_some() && work.stopped.is_none();
        let (ballot, task, outcome) = (ended.ballot, ended.task, ended.outcome);
        let mut actions = match &work.plan {
            Plan::Once(_) => {
                let event = Event::Ended {
                    ballot,
                    task,
                    outcome,
                };
                self.step(ended.job, event, now)
            }
            Plan::Repeat(_) => self.ended_repeat(ended.job, &ballot, task, outcome, now),
        };
        if failed {
            // The job cannot be complete any more: what has not begun would be wasted.
            actions.extend(self.stop(ended.job, Stop::Failed, now));
        }
        actions
    }

    pub(super) fn rejected(
        &mut self,
        agent: &Process,
        rejected: Rejected,
        now: Now,
    ) -> Vec<Action> {
        let key = TaskKey::new(rejected.job, rejected.task);
        if let Some(pool) = self.pool_of(agent) {
            pool.reject(agent, &key, rejected.load, now.up);
        }
        let Some(work) = self.works.get(&rejected.job) else {
            return Vec::new();
        };
        if matches!(work.plan, Plan::Repeat(_)) {
            return self.rejected_repeat(&rejected, now);
        }
        let event = Event::Rejected {
            ballot: rejected.ballot,
            task: rejected.task,
            placement: rejected.placement,
            reject: rejected.reject,
        };
        self.step(rejected.job, event, now)
    }

    fn wake_work(&mut self, job: Job, now: Now) -> Vec<Action> {
        let Some(work) = self.works.get(&job) else {
            self.wakes.retain(|(_, other)| *other != job);
            return Vec::new();
        };
        if work.expires > now.up {
            self.reschedule(job, |work| work.retry = now.up + calls::RETRY);
            return self.retry(job, now);
        }
        if work.stopped.is_some() {
            // The grace is over, or a cancellation has outlived its deadline.
            return self.expire(job, now);
        }
        self.reschedule(job, |work| {
            work.expires = now.up + GRACE;
            work.retry = work.expires;
        });
        self.stop(job, Stop::Deadline, now)
    }

    fn retry(&mut self, job: Job, now: Now) -> Vec<Action> {
        if self.is_follow_late(job, now) {
            return self.lose_owner(job, now);
        }
        self.step(job, Event::Retry, now)
    }

    fn expire(&mut self, job: Job, now: Now) -> Vec<Action> {
        match &self.works[&job].plan {
            Plan::Once(_) => self.step(job, Event::Expired, now),
            Plan::Repeat(_) => self.expire_repeat(job, now),
        }
    }

    fn carry_out(&mut self, job: Job, action: owner::Action, now: Now) -> Vec<Action> {
        match action {
            owner::Action::RequestClaim { keeper, request } => self.ask(keeper, request, now),
            owner::Action::Fence { agent, fence } => {
                metrics::counter!("cassiarock_entry_fences_total").increment(1);
                vec![Action::Send(agent, Frame::Fence(fence))]
            }
            owner::Action::Start { agent, start } => {
                let run = self.works.get(&job).map(|work| rerun(work, &start, now));
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
            owner::Action::Attach(owner) => self.follow(job, owner, now),
            owner::Action::Finish(end) => {
                let Some(work) = self.works.get(&job) else {
                    return Vec::new();
                };
                let answer = answer::of(work, end);
                self.finish(job, answer, now)
            }
        }
    }

    /// Asks the keeper, or does without it at once if it is out of reach.
    fn ask(&mut self, keeper: Process, request: ClaimRequest, now: Now) -> Vec<Action> {
        if self.agents.contains_key(&keeper) {
            metrics::counter!("cassiarock_entry_asks_total").increment(1);
            return vec![Action::Send(keeper, Frame::Ask(request))];
        }
        self.step(request.job, Event::AgentUnreachable(keeper), now)
    }

    /// Queues the tasks that may start and are not queued yet.
    fn release_startable(&mut self, job: Job, now: Now) {
        let Some(work) = self.works.get(&job) else {
            return;
        };
        let Plan::Once(owner) = &work.plan else {
            return;
        };
        let startable: Vec<Task> = owner.startable_tasks().collect();
        let pool = work.pool.clone();
        // The owner knows what may start, the pool what waits already.
        self.pool(&pool).withdraw(job);
        self.release(job, startable, now);
    }

    fn is_attempt(&self, job: Job, same: impl Fn(&cassiarock_claim::Ballot) -> bool) -> bool {
        let Some(work) = self.works.get(&job) else {
            return false;
        };
        match &work.plan {
            Plan::Once(owner) => same(owner.ballot()),
            Plan::Repeat(_) => false,
        }
    }
}

fn end(ended: &Ended) -> dispatch::Outcome {
    match &ended.outcome {
        Outcome::Done(_) => dispatch::Outcome::Done(Duration::from_millis(ended.ran_ms)),
        Outcome::Failed(_) => dispatch::Outcome::Failed,
        Outcome::Lost(_) => dispatch::Outcome::Lost,
    }
}

fn rerun(work: &Work, start: &Start, now: Now) -> Run {
    let left = work.expires.saturating_sub(now.up);
    Run {
        job: start.job,
        digest: start.digest,
        ballot: start.ballot.clone(),
        keeper: start.keeper.clone(),
        view: start.view,
        start_by: start.start_by,
        kind: work.submission.kind.clone(),
        limit_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        tasks: vec![TaskStart {
            task: start.task,
            placement: start.placement,
            lateness: 0,
            may_wait: true,
            payload: work.submission.tasks[start.task.index()].payload.to_vec(),
        }],
    }
}
