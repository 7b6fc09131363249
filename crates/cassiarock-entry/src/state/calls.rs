//! Handles the calls of callers.

use super::pending::{PendingJob, Plan, StopReason};
use super::repeatable::RepeatableJob;
use super::{Action, State, Ticket};
use cassiarock_caller::{self as caller, Answer, Submission};
use cassiarock_claim::Ballot;
use cassiarock_claim::owner::{Event, Owner};
use cassiarock_id::{Job, Name};
use cassiarock_policy::dispatch;
use cassiarock_policy::size::Resources;
use cassiarock_process::Now;
use cassiarock_rule as rule;
use std::sync::Arc;
use std::time::Duration;

/// When a caller may try again after the entry refused it because it is leaving: the load
/// balancer needs this long to notice.
const LEAVING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// When a caller may try again after a rule refused it: rules change within minutes.
const RULE_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Rules count memory in megabytes of 2^20 bytes, as callers declare it.
const MEGABYTE: u64 = 1 << 20;

/// The interval at which unanswered requests are sent again: many round trips, and only a few
/// times in the life of a job.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl State {
    /// A caller submits a job, or submits it again.
    pub(crate) fn submit(
        &mut self,
        submission: Submission,
        ticket: Ticket,
        now: Now,
    ) -> Vec<Action> {
        let job = submission.job;
        if job.issued() > now.wall.plus(self.settings.clock_skew) {
            // Such an id would count as issued in a view that is not settled yet.
            let answer = Answer::Invalid {
                field: "id".to_owned(),
                reason: "its issue time lies in the future; set the caller's clock".to_owned(),
            };
            return vec![Action::Answer(ticket, answer)];
        }
        if let Some(pending) = self.pending_jobs.get_mut(&job) {
            if pending.submission.digest != submission.digest {
                return vec![Action::Answer(ticket, Answer::Conflict)];
            }
            pending.waiting.push(ticket);
            return Vec::new();
        }
        if let Some((digest, answer)) = self.answers.get(&job) {
            let same = *digest == submission.digest;
            let answer = if same {
                answer.clone()
            } else {
                Answer::Conflict
            };
            return vec![Action::Answer(ticket, answer)];
        }
        // The records of jobs of this age are no longer kept: it may have run.
        if !submission.repeatable && job.issued() <= now.wall.minus(self.settings.remembered) {
            return vec![Action::Answer(ticket, Answer::Unknown)];
        }
        if self.leaving {
            let answer = Answer::Unavailable {
                reason: "the entry is leaving".to_owned(),
                retry_after: LEAVING_RETRY_AFTER,
            };
            return vec![Action::Answer(ticket, answer)];
        }
        self.accept(submission, ticket, now)
    }

    /// A caller cancels a job.
    pub(crate) fn cancel(&mut self, job: Job, ticket: Ticket, now: Now) -> Vec<Action> {
        if let Some((_, answer)) = self.answers.get(&job) {
            return vec![Action::Answer(ticket, answer.clone())];
        }
        if let Some(pending) = self.pending_jobs.get_mut(&job) {
            pending.waiting.push(ticket);
            return self.stop(job, StopReason::Cancelled, now);
        }
        self.look_up(job, ticket, None, true, now)
    }

    /// Starts no more tasks of a job and ends it as soon as it is known which tasks ran.
    pub(super) fn stop(&mut self, job: Job, stop: StopReason, now: Now) -> Vec<Action> {
        let Some(pending) = self.pending_jobs.get_mut(&job) else {
            return Vec::new();
        };
        let cancelled = stop == StopReason::Cancelled;
        pending.stopped.get_or_insert(stop);
        let pool = pending.pool.clone();
        let remote = pending.remote_owner.clone();
        self.pool(&pool).withdraw(job);
        if let Some(remote) = remote {
            // The deadline is that of this entry's caller; the owner has its own.
            return cancelled
                .then(|| remote.attach(job, true))
                .into_iter()
                .collect();
        }
        match &self.pending_jobs[&job].plan {
            Plan::AtMostOnce(_) => self.step_owner(job, Event::Cancelled, now),
            Plan::Repeatable(_) => self.stop_repeatable(job, now),
        }
    }

    fn accept(&mut self, submission: Submission, ticket: Ticket, now: Now) -> Vec<Action> {
        let job = submission.job;
        let decision = self.rules.rules.decide(&self.request(&submission, now));
        log::info!(
            job:% = job, kind:% = submission.kind, team:% = submission.team,
            tasks = submission.tasks.len(), rule:% = decision.rule;
            "{decision}"
        );
        let (run, refusal) = match decision.action {
            rule::Action::Run(run) => (run, None),
            rule::Action::Refuse { reason } => {
                let refusal = StopReason::Refused {
                    reason: reason.to_string(),
                    retry_after: RULE_RETRY_AFTER,
                };
                (rule::action::Run::default(), Some(refusal))
            }
        };
        let time_left = submission.deadline.min(run.deadline);
        let expires = now.up + time_left;
        let refusal = refusal.or_else(|| self.admit(&submission, &run.pool, time_left, now));
        let pending = PendingJob {
            plan: self.plan(&submission),
            submission: Arc::new(submission),
            rule: decision.rule,
            pool: run.pool,
            arrived: now.up,
            expires,
            retry: now.up + RETRY_INTERVAL,
            waiting: vec![ticket],
            attached: Vec::new(),
            remote_owner: None,
            owner_address: None,
            stopped: None,
            failure: None,
        };
        self.timers.insert((pending.next_check(), job));
        self.pending_jobs.insert(job, pending);
        match refusal {
            Some(refusal) => self.refuse(job, refusal, now),
            None => self.start_job(job, now),
        }
    }

    /// Asks the pool to admit the job; returns the refusal if it does not.
    fn admit(
        &mut self,
        submission: &Submission,
        pool: &Name,
        time_left: Duration,
        now: Now,
    ) -> Option<StopReason> {
        let dispatched = dispatch_submission(submission, time_left);
        match self.pool(pool).admit(&dispatched, now.up) {
            dispatch::Answer::Admit => None,
            dispatch::Answer::Refuse {
                reason,
                retry_after,
            } => Some(StopReason::Refused {
                reason: reason.as_str().to_owned(),
                retry_after: retry_after.unwrap_or(RULE_RETRY_AFTER),
            }),
        }
    }

    fn plan(&mut self, submission: &Submission) -> Plan {
        self.last_serial += 1;
        let tasks = u16::try_from(submission.tasks.len()).unwrap_or(u16::MAX);
        let me = self.settings.me.clone();
        let ballot = Ballot::new(Ballot::UNCLAIMED, me).with_serial(self.last_serial);
        if submission.repeatable {
            return Plan::Repeatable(RepeatableJob::new(ballot, tasks));
        }
        let owner = Owner::new(submission.job, submission.digest, tasks, ballot);
        Plan::AtMostOnce(Box::new(owner))
    }

    fn start_job(&mut self, job: Job, now: Now) -> Vec<Action> {
        let pending = &self.pending_jobs[&job];
        if matches!(pending.plan, Plan::Repeatable(_)) {
            let tasks = (0..pending.task_count()).map(cassiarock_id::Task).collect();
            self.release(job, tasks, now);
            return Vec::new();
        }
        self.step_owner(job, Event::Submitted, now)
    }

    /// Refuses a job that has not begun. The answer "not run" is given only after the claim was
    /// closed, because another entry may have the same job.
    fn refuse(&mut self, job: Job, refusal: StopReason, now: Now) -> Vec<Action> {
        let Some(pending) = self.pending_jobs.get_mut(&job) else {
            return Vec::new();
        };
        pending.stopped = Some(refusal);
        if matches!(pending.plan, Plan::Repeatable(_)) {
            return self.stop_repeatable(job, now);
        }
        let mut actions = self.step_owner(job, Event::Cancelled, now);
        actions.extend(self.step_owner(job, Event::Submitted, now));
        actions
    }

    fn request(&self, submission: &Submission, now: Now) -> rule::Request {
        let tasks = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
        let request = rule::Request::new(submission.kind.clone())
            .with_team(submission.team.clone())
            .with_task_count(tasks)
            .with_need(job_need(submission))
            .with_repeatable(submission.repeatable);
        self.with_context(request, now)
    }

    /// Adds this entry's data centre, the loads and the time to a request.
    pub(super) fn with_context(&self, request: rule::Request, now: Now) -> rule::Request {
        request
            .with_data_centre(self.settings.data_centre.clone())
            .with_loads(self.loads.clone())
            .with_time(now.wall)
    }
}

/// The submission of a job to its pool. Declared needs and run times are the caller's estimate.
fn dispatch_submission(submission: &Submission, time_left: Duration) -> dispatch::Submission {
    let tasks = &submission.tasks;
    let need = tasks.iter().map(|task| task_need(&task.need));
    let declared = tasks.iter().filter_map(|task| task.run).max();
    let dispatched = dispatch::Submission::new(
        submission.job,
        submission.team.clone(),
        submission.kind.clone(),
        tasks.len(),
    );
    let dispatched = dispatched
        .with_need(need.fold(Resources::default(), Resources::max))
        .with_deadline(time_left);
    match declared {
        Some(declared) => dispatched.with_declared_run_time(declared),
        None => dispatched,
    }
}

fn task_need(need: &caller::Resources) -> Resources {
    // A value that is out of range is more than any upstream has.
    let millis = (need.cores * 1000.0).clamp(0.0, 1e15) as u64;
    Resources::new(
        millis,
        need.memory.div_ceil(MEGABYTE),
        u64::from(need.accelerators),
    )
}

/// The most that any task of the job declares, in the whole numbers of rules.
fn job_need(submission: &Submission) -> rule::request::Resources {
    let needs = submission.tasks.iter().map(|task| task.need);
    needs.fold(rule::request::Resources::default(), |most, need| {
        let memory = need.memory.div_ceil(MEGABYTE);
        rule::request::Resources {
            // The cast saturates at the range of u32; no value is negative here.
            cores: most.cores.max(need.cores.ceil() as u32),
            memory: most.memory.max(u32::try_from(memory).unwrap_or(u32::MAX)),
            accelerators: most.accelerators.max(need.accelerators),
        }
    })
}
