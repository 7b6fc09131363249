//! The dispatcher of one pool.

use super::settings::Settings;
use super::submission::{Answer, Outcome, Reason, Submission};
use crate::admission::{self, AdmissionController, AdmissionRequest, Share, Usage};
use crate::health::{self, Monitor};
use crate::load::LoadReport;
use crate::place::{Action, Placer, TaskKey, Upstream};
use crate::retry::{Budget, RetrySafety};
use crate::size::{Capacities, Estimator, Feasibility, Resources};
use crate::{Due, place};
use cassiarock_id::{Job, Name, Process, Task};
use std::collections::HashMap;
use std::time::Duration;

/// What is stored about an admitted job.
#[derive(Clone, Debug)]
struct Admitted {
    due: Due,
    kind: Name,
    declared: Option<Duration>,
}

/// All decisions of one entry about one pool.
///
/// Combines admission control, placement, size estimates, fault detection and the retry
/// budget, so that an entry reports each event only once. Call [`Self::poll`] after each batch
/// of events and at [`Self::next_poll`].
///
/// ```
/// use cassiarock_id::{Job, Name, Process, Task, Wall};
/// use cassiarock_policy::dispatch::{Answer, Dispatcher, Settings, Submission};
/// use cassiarock_policy::place::{Action, Upstream};
/// use cassiarock_policy::size::Resources;
/// use cassiarock_policy::{PlacementPolicy, Objective};
/// use std::time::Duration;
/// let settings = Settings::new(PlacementPolicy::Credits, Objective::Messages);
/// let mut dispatcher = Dispatcher::new(settings, 1);
/// let upstream = Upstream::new(Process::new("agent-1", 1), 8);
/// dispatcher.add(upstream, Resources::new(64_000, 128 << 10, 0));
/// let id = Job::with_bits(Wall::from_millis(1), 1);
/// let job = Submission::new(id, Name::from("valley-3"), Name::from("seat-check"), 1);
/// let now = Duration::ZERO;
/// assert_eq!(dispatcher.admit(&job, now), Answer::Admit);
/// dispatcher.release(id, vec![Task(0)], None, now);
/// assert!(matches!(&dispatcher.poll(now)[..], [Action::Start { .. }]));
/// ```
#[derive(Debug)]
pub struct Dispatcher {
    placer: Placer,
    admission: AdmissionController,
    monitor: Monitor,
    estimator: Estimator,
    retries: Budget,
    capacities: Capacities,
    slots: HashMap<Process, u16>,
    jobs: HashMap<Job, Admitted>,
}

impl Dispatcher {
    /// A dispatcher without upstreams. Each entry must use another seed.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            placer: Placer::new(settings.place, seed),
            admission: AdmissionController::new(settings.admission, seed),
            monitor: Monitor::new(settings.health),
            estimator: Estimator::default(),
            retries: Budget::new(settings.retry, seed),
            capacities: Capacities::default(),
            slots: HashMap::new(),
            jobs: HashMap::new(),
        }
    }

    /// Adds an upstream with the resources `has` that can be reached, for the first time or
    /// again.
    pub fn add(&mut self, upstream: Upstream, has: Resources) {
        let agent = upstream.agent.clone();
        self.slots.insert(agent.clone(), upstream.slots);
        self.count_slots();
        self.capacities.add(agent.clone(), has);
        self.monitor.add(agent.clone());
        self.placer.add(upstream);
        self.placer.set_share(&agent, self.monitor.share(&agent));
    }

    /// Marks an upstream as leaving: it gets no further task.
    pub fn start_leaving(&mut self, agent: &Process) {
        self.placer.start_leaving(agent);
        self.slots.remove(agent);
        self.count_slots();
    }

    /// Marks an upstream as staying again.
    pub fn cancel_leaving(&mut self, agent: &Process) {
        if let Some(slots) = self.placer.cancel_leaving(agent) {
            self.slots.insert(agent.clone(), slots);
            self.count_slots();
        }
    }

    /// The share of the pool's slots that is in use, in percent; see [`Placer::load_percent`].
    #[must_use]
    pub fn load_percent(&self) -> u32 {
        self.placer.load_percent()
    }

    /// Removes an upstream whose connection is lost and returns the tasks that may have
    /// started there. What was learned about it is kept for its return.
    pub fn disconnect(&mut self, agent: &Process) -> Vec<TaskKey> {
        self.slots.remove(agent);
        self.count_slots();
        self.placer.disconnect(agent)
    }

    /// Forgets an upstream that is gone permanently. Call [`Self::disconnect`] before.
    pub fn remove(&mut self, agent: &Process) {
        self.monitor.remove(agent);
        self.capacities.remove(agent);
    }

    /// Sets the teams' weights and quotas, from the configuration.
    pub fn set_teams(&mut self, shares: HashMap<Name, Share>) {
        self.admission.set_teams(shares);
    }

    /// Decides whether to admit a job. Its tasks are not sent before they are released.
    pub fn admit(&mut self, job: &Submission, now: Duration) -> Answer {
        let learned = self.estimator.peak_usage(&job.kind);
        if let Feasibility::Impossible(resource) = self.capacities.check(&job.need, &learned) {
            return Answer::Refuse {
                reason: Reason::Impossible(resource),
                retry_after: None,
            };
        }
        let run = self.estimator.run_time(&job.kind, job.declared_run_time);
        let request = AdmissionRequest {
            job: job.job,
            team: job.team.clone(),
            task_count: job.task_count,
            work: run.saturating_mul(u32::try_from(job.task_count).unwrap_or(u32::MAX)),
            time_left: job.time_left,
        };
        match self.admission.admit(&request, now) {
            admission::Answer::Admit(due) => self.record(job, due),
            admission::Answer::Refuse {
                reason,
                retry_after,
            } => Answer::Refuse {
                reason: Reason::Load(reason),
                retry_after: Some(retry_after),
            },
        }
    }

    /// Queues tasks of a job to be started, or started again, at any upstream but `avoid`.
    pub fn release(&mut self, job: Job, tasks: Vec<Task>, avoid: Option<Process>, now: Duration) {
        // A job taken over from another entry was not admitted at this one.
        let due = self.jobs.get(&job).map(|job| job.due);
        let due = due.unwrap_or_else(|| Due::new(now, Duration::ZERO));
        let mut job = place::ReadyTasks::new(job, due, tasks);
        job.avoid = avoid;
        self.placer.enqueue(job);
    }

    /// Records the outcome of a started task. `load` is the report on the frame, if any.
    pub fn end(
        &mut self,
        agent: &Process,
        key: &TaskKey,
        end: Outcome,
        load: Option<LoadReport>,
        now: Duration,
    ) {
        self.placer.end(agent, key, load, now);
        let end = match end {
            Outcome::Done(ran) => self.learn(key.job, ran),
            Outcome::Failed => health::Outcome::Failed,
            Outcome::Lost => health::Outcome::Lost,
        };
        self.monitor.record(agent, end);
        if matches!(end, health::Outcome::Done { .. }) {
            self.retries.record_success();
            self.admission.finish(key.job, 1);
        }
    }

    /// How long to wait before a task is released again; `None` if it must not be retried.
    pub fn retry(&mut self, safety: RetrySafety, retry: u32) -> Option<Duration> {
        self.retries.take(safety, retry)
    }

    /// Queues a task again that an agent has proved not to have started and never to start;
    /// see [`Placer::requeue`].
    pub fn requeue(
        &mut self,
        agent: &Process,
        key: &TaskKey,
        elsewhere: bool,
        load: LoadReport,
        now: Duration,
    ) {
        self.placer.requeue(agent, key, elsewhere, load, now);
    }

    /// Ends the placement of a task that an agent has proved not to have started and never to
    /// start. The job's owner decides whether it is released again.
    pub fn reject(&mut self, agent: &Process, key: &TaskKey, load: LoadReport, now: Duration) {
        self.placer.end(agent, key, Some(load), now);
    }

    /// Removes the tasks of a job that were released and not sent. The job stays admitted.
    pub fn withdraw(&mut self, job: Job) -> Vec<Task> {
        self.placer.cancel(job)
    }

    /// Takes back a task of a start action that was not sent; see [`Placer::undo_start`].
    pub fn undo_start(&mut self, agent: &Process, key: &TaskKey, wanted: bool) {
        self.placer.undo_start(agent, key, wanted);
    }

    /// Takes in a load report and its credits, from a grant or another frame.
    pub fn grant(&mut self, agent: &Process, load: LoadReport, now: Duration) {
        self.placer.grant(agent, load, now);
    }

    /// Removes a job that is answered or cancelled and returns its tasks that were not sent.
    pub fn finish(&mut self, job: Job) -> Vec<Task> {
        self.jobs.remove(&job);
        self.admission.drop_job(job);
        self.placer.cancel(job)
    }

    /// Admitted jobs that can no longer end before their deadline. Fail them now rather than
    /// use slots for them.
    #[must_use]
    pub fn infeasible_jobs(&self, now: Duration) -> Vec<Job> {
        self.admission.infeasible_jobs(now)
    }

    /// Returns what to send now.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        if now >= self.monitor.next_evaluation() {
            for (agent, share) in self.monitor.evaluate(now) {
                self.placer.set_share(&agent, share);
            }
        }
        self.placer.poll(now)
    }

    /// When to call [`Self::poll`] at the latest if no event comes before.
    #[must_use]
    pub fn next_poll(&self) -> Option<Duration> {
        if self.slots.is_empty() {
            return self.placer.next_poll();
        }
        let evaluation = self.monitor.next_evaluation();
        Some(
            self.placer
                .next_poll()
                .map_or(evaluation, |poll| poll.min(evaluation)),
        )
    }

    /// The usage to send to the other entries about once a second; empty if nothing changed.
    pub fn usage_updates(&mut self) -> Vec<Usage> {
        self.admission.usage_updates()
    }

    /// Charges the usage that another entry sent.
    pub fn apply_usage(&mut self, entry: &Process, usages: &[Usage], now: Duration) {
        self.admission.apply_usage(entry, usages, now);
    }

    /// Forgets the usage reported by an entry that is gone.
    pub fn remove_entry(&mut self, entry: &Process) {
        self.admission.remove_entry(entry);
    }

    /// The share of its slots that an upstream may use, 0 to 1.
    #[must_use]
    pub fn share(&self, agent: &Process) -> f64 {
        self.monitor.share(agent)
    }

    /// How many tasks wait in the queue.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.placer.waiting()
    }

    /// How many tasks were sent to upstreams and have not ended.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.placer.outstanding()
    }

    fn record(&mut self, job: &Submission, due: Due) -> Answer {
        let admitted = Admitted {
            due,
            kind: job.kind.clone(),
            declared: job.declared_run_time,
        };
        self.jobs.insert(job.job, admitted);
        Answer::Admit
    }

    fn learn(&mut self, job: Job, ran: Duration) -> health::Outcome {
        let Some(job) = self.jobs.get(&job) else {
            return health::Outcome::Done { slowness: 1.0 };
        };
        let slowness = self.estimator.slowness(&job.kind, job.declared, ran);
        self.estimator.learn(&job.kind, job.declared, ran);
        health::Outcome::Done { slowness }
    }

    fn count_slots(&mut self) {
        let slots = self.slots.values().map(|slots| usize::from(*slots)).sum();
        self.admission.set_slots(slots);
    }
}
