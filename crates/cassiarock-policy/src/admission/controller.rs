//! Admission of jobs at one entry.

use super::backlog::Backlog;
use super::request::{AdmissionRequest, Answer, Reason};
use super::settings::Settings;
use super::spread::Spread;
use super::team::{Share, Teams, Usage};
use crate::size::Estimator;
use cassiarock_id::{Job, Name, Process};
use std::collections::HashMap;
use std::time::Duration;

/// An admitted job.
#[derive(Debug)]
struct Admitted {
    tasks: usize,
    work: f64,
    each: f64,
    deadline: Option<Duration>,
}

/// Admits or refuses jobs at one entry.
///
/// Made for more work than the pool can do. A job that would miss its deadline is
/// refused when it arrives: admitted, it would use slots until the deadline and then
/// count for nothing, and its caller would learn late. Small jobs are served first, so
/// they are refused last; a large one is admitted as long as what is not larger, and what
/// smaller work keeps arriving, leave it time.
///
/// ```
/// use cassiarock_id::{Job, Name, Wall};
/// use cassiarock_policy::admission::{Answer, AdmissionController, AdmissionRequest, Settings};
/// use std::time::Duration;
/// let mut gate = AdmissionController::new(Settings::default(), 1);
/// gate.set_slots(88);
/// let id = Job::with_bits(Wall::from_millis(1), 1);
/// let offer = AdmissionRequest::new(id, Name::from("valley-3"), 20, Duration::from_secs(5));
/// assert!(matches!(gate.admit(&offer, Duration::ZERO), Answer::Admit(_)));
/// ```
#[derive(Debug)]
pub struct AdmissionController {
    settings: Settings,
    slots: f64,
    /// Whether no upstream can be reached.
    is_out: bool,
    tasks: usize,
    jobs: HashMap<Job, Admitted>,
    backlog: Backlog,
    teams: Teams,
    spread: Spread,
}

impl AdmissionController {
    /// A gate without a pool; it admits until it knows one.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            slots: 0.0,
            is_out: false,
            tasks: 0,
            jobs: HashMap::new(),
            backlog: Backlog::new(),
            teams: Teams::default(),
            spread: Spread::new(seed),
        }
    }

    /// How many slots all upstreams have. None at all means an outage: what the pool had
    /// before is then what it will have again, and waiting jobs are judged by that.
    pub fn set_slots(&mut self, slots: usize) {
        self.is_out = slots == 0;
        if self.is_out {
            return;
        }
        self.slots = slots as f64;
        self.backlog.set_slots(self.slots);
    }

    /// The teams' weights and quotas, from the configuration.
    pub fn set_teams(&mut self, shares: HashMap<Name, Share>) {
        self.teams.set(shares);
    }

    /// Decides on a job.
    pub fn admit(&mut self, offer: &AdmissionRequest, now: Duration) -> Answer {
        self.backlog.decay(!self.is_out, now);
        let work = offer.work.as_secs_f64();
        if let Some((reason, wait)) = self.objection(offer, work, now) {
            let service = self.backlog.service();
            let retry_after = self.spread.next(work, wait, service, &self.settings, now);
            return Answer::Refuse {
                reason,
                retry_after,
            };
        }
        let burst = self.settings.quota_burst;
        let ahead = self.teams.charge(&offer.team, work, self.slots, burst, now);
        self.keep(offer, work, now);
        let due = Estimator::due(now, offer.work, self.slots as usize);
        Answer::Admit(due.plus(ahead))
    }

    /// Tasks of an admitted job ended, or were dropped before they started.
    pub fn finish(&mut self, job: Job, tasks: usize) {
        let Some(admitted) = self.jobs.get_mut(&job) else {
            return;
        };
        let tasks = tasks.min(admitted.tasks);
        admitted.tasks -= tasks;
        self.tasks -= tasks;
        let done = admitted.each * tasks as f64;
        self.backlog.finish(admitted.work, done);
        if admitted.tasks == 0 {
            self.jobs.remove(&job);
        }
    }

    /// Nobody waits for the job any more.
    pub fn drop_job(&mut self, job: Job) {
        let Some(admitted) = self.jobs.remove(&job) else {
            return;
        };
        self.tasks -= admitted.tasks;
        let left = admitted.each * admitted.tasks as f64;
        self.backlog.remove(admitted.work, left);
    }

    /// Admitted jobs that cannot end before their deadline even if all slots worked for
    /// them. What remains of them would be thrown away; drop it before it starts.
    #[must_use]
    pub fn infeasible_jobs(&self, now: Duration) -> Vec<Job> {
        let slots = self.slots.max(1.0);
        let hopeless = self.jobs.iter().filter(|(_, admitted)| {
            let left = admitted.each * admitted.tasks as f64 / slots;
            let end = now + Duration::from_secs_f64(left);
            admitted.deadline.is_some_and(|deadline| end > deadline)
        });
        let mut jobs: Vec<Job> = hopeless.map(|(job, _)| *job).collect();
        jobs.sort();
        jobs
    }

    /// What to tell the other entries about once a second: teams with new work.
    pub fn usage_updates(&mut self) -> Vec<Usage> {
        self.teams.news()
    }

    /// What another entry told.
    pub fn apply_usage(&mut self, entry: &Process, usages: &[Usage], now: Duration) {
        let burst = self.settings.quota_burst;
        self.teams.hear(entry, usages, self.slots, burst, now);
    }

    /// Another entry is gone.
    pub fn remove_entry(&mut self, entry: &Process) {
        self.teams.forget(entry);
    }

    /// Tasks of admitted jobs that have not ended.
    #[must_use]
    pub fn tasks(&self) -> usize {
        self.tasks
    }

    /// Why the job has to be refused, and for how many seconds that holds.
    fn objection(
        &mut self,
        offer: &AdmissionRequest,
        work: f64,
        now: Duration,
    ) -> Option<(Reason, f64)> {
        let backlog = self.backlog.total() / self.backlog.service();
        if self.tasks + offer.task_count > self.settings.max_tasks
            || self.jobs.len() >= self.settings.max_jobs
        {
            return Some((Reason::Full, backlog / 2.0));
        }
        if let Some(wait) = self.teams.wait(&offer.team, self.settings.quota_burst, now) {
            return Some((Reason::Quota, wait));
        }
        if self.slots == 0.0 {
            return None;
        }
        let patience = offer
            .time_left
            .unwrap_or(self.settings.default_deadline)
            .as_secs_f64();
        // A team within its share is served before one that is ahead of its own, so the
        // other's backlog does not delay it.
        let burst = self.settings.quota_burst;
        let by_share = self
            .teams
            .end_by_share(&offer.team, work, self.slots, burst, now);
        let end = self.backlog.end_of(work);
        let end = by_share.map_or(end, |by_share| end.min(by_share));
        (end > patience).then(|| (Reason::Late, (end - patience).min(backlog)))
    }

    fn keep(&mut self, offer: &AdmissionRequest, work: f64, now: Duration) {
        self.tasks += offer.task_count;
        self.backlog.add(work);
        let admitted = Admitted {
            tasks: offer.task_count,
            work,
            each: work / offer.task_count.max(1) as f64,
            deadline: offer.time_left.map(|within| now + within),
        };
        self.jobs.insert(offer.job, admitted);
    }
}
