//! Admission control of one entry.

use super::backlog::Backlog;
use super::request::{AdmissionRequest, Answer, Reason};
use super::settings::Settings;
use super::spread::RetrySpread;
use super::team::{Share, Teams, Usage};
use crate::size::Estimator;
use cassiarock_id::{Job, Name, Process};
use std::collections::HashMap;
use std::time::Duration;

/// An admitted job.
#[derive(Debug)]
struct Admitted {
    /// Tasks that have not ended.
    tasks: usize,
    /// Work of the whole job in seconds of slot time.
    work: f64,
    work_per_task: f64,
    deadline: Option<Duration>,
}

/// Admits or refuses jobs at one entry.
///
/// Protects the pool from more work than it can do. A job that would miss its deadline is
/// refused when it arrives: if admitted, it would use slots until its deadline without a
/// result, and its caller would learn of the failure late. Small jobs are served first, so
/// they are refused last. A large job is admitted as long as the admitted work that is not
/// larger, and the smaller work that keeps arriving, leave it enough time.
///
/// ```
/// use cassiarock_id::{Job, Name, Wall};
/// use cassiarock_policy::admission::{AdmissionController, AdmissionRequest, Answer, Settings};
/// use std::time::Duration;
/// let mut admission = AdmissionController::new(Settings::default(), 1);
/// admission.set_slots(88);
/// let id = Job::with_bits(Wall::from_millis(1), 1);
/// let request = AdmissionRequest::new(id, Name::from("valley-3"), 20, Duration::from_secs(5));
/// assert!(matches!(admission.admit(&request, Duration::ZERO), Answer::Admit(_)));
/// ```
#[derive(Debug)]
pub struct AdmissionController {
    settings: Settings,
    slots: f64,
    /// Whether no upstream can be reached.
    is_outage: bool,
    tasks: usize,
    jobs: HashMap<Job, Admitted>,
    backlog: Backlog,
    teams: Teams,
    spread: RetrySpread,
}

impl AdmissionController {
    /// A controller that knows no slots yet. Until it does, it refuses no job for its
    /// deadline.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            slots: 0.0,
            is_outage: false,
            tasks: 0,
            jobs: HashMap::new(),
            backlog: Backlog::new(),
            teams: Teams::default(),
            spread: RetrySpread::new(seed),
        }
    }

    /// Sets how many slots all upstreams have. Zero means an outage: the pool is assumed to
    /// get its previous slots back, and jobs are judged by these.
    pub fn set_slots(&mut self, slots: usize) {
        self.is_outage = slots == 0;
        if self.is_outage {
            return;
        }
        self.slots = slots as f64;
        self.backlog.set_slots(self.slots);
    }

    /// Sets the teams' weights and quotas, from the configuration.
    pub fn set_teams(&mut self, shares: HashMap<Name, Share>) {
        self.teams.set_shares(shares);
    }

    /// Admits or refuses a job.
    pub fn admit(&mut self, request: &AdmissionRequest, now: Duration) -> Answer {
        self.backlog.decay(!self.is_outage, now);
        let work = request.work.as_secs_f64();
        if let Some((reason, wait)) = self.refusal(request, work, now) {
            let service_rate = self.backlog.service_rate();
            let retry_after = self
                .spread
                .next(work, wait, service_rate, &self.settings, now);
            return Answer::Refuse {
                reason,
                retry_after,
            };
        }
        let burst = self.settings.quota_burst;
        let ahead = self
            .teams
            .charge(&request.team, work, self.slots, burst, now);
        self.record(request, work, now);
        let due = Estimator::due(now, request.work, self.slots as usize);
        Answer::Admit(due.plus(ahead))
    }

    /// Removes tasks of an admitted job that ended or were dropped before they started.
    pub fn finish(&mut self, job: Job, tasks: usize) {
        let Some(admitted) = self.jobs.get_mut(&job) else {
            return;
        };
        let tasks = tasks.min(admitted.tasks);
        admitted.tasks -= tasks;
        self.tasks -= tasks;
        let done = admitted.work_per_task * tasks as f64;
        self.backlog.finish(admitted.work, done);
        if admitted.tasks == 0 {
            self.jobs.remove(&job);
        }
    }

    /// Removes a job for which no caller waits any more.
    pub fn drop_job(&mut self, job: Job) {
        let Some(admitted) = self.jobs.remove(&job) else {
            return;
        };
        self.tasks -= admitted.tasks;
        let remaining = admitted.work_per_task * admitted.tasks as f64;
        self.backlog.remove(admitted.work, remaining);
    }

    /// Admitted jobs that cannot end before their deadline even if they got all slots. The
    /// results of their remaining tasks would be discarded, so do not start these.
    #[must_use]
    pub fn infeasible_jobs(&self, now: Duration) -> Vec<Job> {
        let slots = self.slots.max(1.0);
        let infeasible = self.jobs.iter().filter(|(_, admitted)| {
            let remaining = admitted.work_per_task * admitted.tasks as f64 / slots;
            let end = now + Duration::from_secs_f64(remaining);
            admitted.deadline.is_some_and(|deadline| end > deadline)
        });
        let mut jobs: Vec<Job> = infeasible.map(|(job, _)| *job).collect();
        jobs.sort();
        jobs
    }

    /// The usage of teams with newly admitted work, to send to the other entries about once a
    /// second.
    pub fn usage_updates(&mut self) -> Vec<Usage> {
        self.teams.usage_updates()
    }

    /// Charges the usage that another entry sent.
    pub fn apply_usage(&mut self, entry: &Process, usages: &[Usage], now: Duration) {
        let burst = self.settings.quota_burst;
        self.teams
            .apply_usage(entry, usages, self.slots, burst, now);
    }

    /// Forgets the usage reported by an entry that is gone.
    pub fn remove_entry(&mut self, entry: &Process) {
        self.teams.remove_entry(entry);
    }

    /// Tasks of admitted jobs that have not ended.
    #[must_use]
    pub fn tasks(&self) -> usize {
        self.tasks
    }

    /// Why the job has to be refused and for how many seconds that is expected to hold;
    /// `None` to admit it.
    fn refusal(
        &mut self,
        request: &AdmissionRequest,
        work: f64,
        now: Duration,
    ) -> Option<(Reason, f64)> {
        let backlog = self.backlog.total_work() / self.backlog.service_rate();
        if self.tasks + request.task_count > self.settings.max_tasks
            || self.jobs.len() >= self.settings.max_jobs
        {
            return Some((Reason::Full, backlog / 2.0));
        }
        if let Some(wait) = self
            .teams
            .quota_wait(&request.team, self.settings.quota_burst, now)
        {
            return Some((Reason::Quota, wait));
        }
        if self.slots == 0.0 {
            return None;
        }
        let time_left = request
            .time_left
            .unwrap_or(self.settings.default_deadline)
            .as_secs_f64();
        // A team within its share is served before teams that exceed theirs, so their
        // backlog does not delay it.
        let burst = self.settings.quota_burst;
        let by_share = self
            .teams
            .seconds_by_share(&request.team, work, self.slots, burst, now);
        let end = self.backlog.seconds_to_finish(work);
        let end = by_share.map_or(end, |by_share| end.min(by_share));
        (end > time_left).then(|| (Reason::Late, (end - time_left).min(backlog)))
    }

    fn record(&mut self, request: &AdmissionRequest, work: f64, now: Duration) {
        self.tasks += request.task_count;
        self.backlog.add(work);
        let admitted = Admitted {
            tasks: request.task_count,
            work,
            work_per_task: work / request.task_count.max(1) as f64,
            deadline: request.time_left.map(|time_left| now + time_left),
        };
        self.jobs.insert(request.job, admitted);
    }
}
