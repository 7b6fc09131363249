//! The scheduler of an entry: decides which jobs are admitted, in which order their tasks are
//! placed, and on which agents.

mod action;
mod active_job;
mod agent;
mod endings;
mod fault;
mod link;
mod mechanisms;
mod placement;
mod queue;
mod random;

use crate::message::Message;
use crate::{Decision, Job, JobClass, evacuation};
use active_job::ActiveJob;
use agent::Agent;
use cassiarock_id::{Name, Process};
use fault::crash::Crashes;
use fault::pace::KindSize;
use placement::placement_rate::PlacementRate;
use placement::run_time::RunTimes;
use placement::tenure::ColdPace;
use placement::upstream_kinds::UpstreamKinds;
use queue::expectation::Expectation;
use queue::patience::Patience;
use queue::rank::Rank;
use queue::reserve::Reserve;
use random::Random;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

pub use action::{Action, Answer, Latency};
pub use mechanisms::Mechanisms;
pub use placement::run_time::RunTime;
pub use queue::expectation::UsualRoom;

/// A process that was frozen for this long may hold requests whose callers have left and submitted
/// them elsewhere. It learns of that from its sockets first.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(300);

/// How long nothing is placed after a freeze: several rounds of reading all sockets.
const PAUSE_AFTER_FREEZE: Duration = Duration::from_millis(50);

/// The interval between two checks for what depends on time alone: lost agents, jobs out of time,
/// slow upstreams. Each check is a pass over all jobs and agents.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The jobs and agents of one entry.
#[derive(Debug, Default)]
pub struct Scheduler {
    agents: BTreeMap<Process, Agent>,
    jobs: BTreeMap<u64, ActiveJob>,
    /// Jobs with waiting tasks, the first to be placed at the front.
    queue: BTreeSet<Rank>,
    /// The kinds of upstream seen so far.
    upstream_kinds: UpstreamKinds,
    /// The rate at which work is placed.
    placement_rate: PlacementRate,
    /// The ratio of run times to estimates.
    run_times: RunTimes,
    /// How slow cold upstreams are.
    cold_pace: ColdPace,
    /// The share of the room of the fastest upstreams that is taken.
    fast_use: f64,
    /// How much there is of each kind of upstream.
    kind_sizes: BTreeMap<Name, KindSize>,
    /// How long callers usually wait.
    patience: Patience,
    /// The room to expect after a start.
    expectation: Expectation,
    /// The room to keep free for more urgent jobs.
    reserve: Reserve,
    /// When the scheduler was last polled; a gap means that the process was frozen.
    last_poll: Duration,
    /// Until when nothing is placed after a freeze.
    paused_until: Duration,
    /// When the checks of what depends on time alone last ran.
    last_check: Duration,
    /// Until when all jobs have to be answered, if the process is leaving.
    shutdown_deadline: Option<Duration>,
    /// The version of the configuration in force.
    version: u64,
    /// The data centres that operators are evacuating.
    evacuations: evacuation::State,
    /// Recent losses of upstreams, and the tasks suspected of them.
    crashes: Crashes,
    /// Agents that run tasks suspected of crashing upstreams.
    suspect_agents: BTreeSet<Process>,
    mechanisms: Mechanisms,
    /// The factor by which tasks run longer away from the rack of their data, if the settings name it.
    remote_factor: Option<f64>,
    random: Random,
    /// The job for which agents were last asked for room, and when.
    last_ask: Option<(u64, Duration)>,
    /// Whether an event since the last poll may allow tasks to be placed.
    may_place: bool,
}

impl Scheduler {
    /// Creates a scheduler without agents.
    ///
    /// ```
    /// assert_eq!(cassiarock_transient::Scheduler::new().job_count(), 0);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the set of enabled mechanisms.
    #[must_use]
    pub fn with_mechanisms(self, mechanisms: Mechanisms) -> Self {
        Self { mechanisms, ..self }
    }

    /// Sets the factor by which tasks run longer away from the rack of their data.
    ///
    /// ```
    /// let scheduler = cassiarock_transient::Scheduler::new().with_remote_factor(Some(2.0));
    /// assert_eq!(scheduler.job_count(), 0);
    /// ```
    #[must_use]
    pub fn with_remote_factor(self, remote_factor: Option<f64>) -> Self {
        Self {
            remote_factor,
            ..self
        }
    }

    /// Seeds the random numbers, for reproducible simulations.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> Self {
        Self {
            random: Random::new(seed),
            ..self
        }
    }

    /// The number of unanswered jobs.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// The number of unanswered jobs of this route of which nothing has started.
    #[must_use]
    pub fn unstarted_job_count(&self, route: &str) -> usize {
        let jobs = self.jobs.values();
        let unstarted =
            jobs.filter(|active| !active.may_have_run() && &*active.class.route == route);
        unstarted.count()
    }

    /// The number of agents that accept tasks.
    #[must_use]
    pub fn open_agent_count(&self, now: Duration) -> usize {
        let agents = self.agents.values();
        agents.filter(|agent| agent.is_open(now)).count()
    }

    /// The number of tasks placed at agents of this data centre.
    #[must_use]
    pub fn placed_in(&self, data_centre: &str) -> usize {
        let agents = self.agents.values();
        let there = agents.filter(|agent| &*agent.data_centre == data_centre);
        there.map(|agent| agent.placed).sum()
    }

    /// The agents with an open link.
    pub fn linked_agents(&self) -> impl Iterator<Item = &Process> {
        let agents = self.agents.iter();
        agents
            .filter(|(_, agent)| agent.is_linked)
            .map(|(process, _)| process)
    }

    /// Sets the version of the configuration in force, which heartbeats carry.
    pub const fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// The number of the unanswered job with this id, if this entry has it.
    #[must_use]
    pub fn find_job(&self, job: &str) -> Option<u64> {
        let mut jobs = self.jobs.values();
        let found = jobs.find(|active| &*active.job.id == job);
        found.map(|active| active.number)
    }

    /// Whether any task of the job with this number may have started.
    #[must_use]
    pub fn is_started(&self, number: u64) -> bool {
        self.jobs.get(&number).is_some_and(ActiveJob::may_have_run)
    }

    /// Admits a job or refuses it at once. Each job needs a `number` of its own. Its caller leaves
    /// after `patience`.
    pub fn submit(
        &mut self,
        number: u64,
        job: Job,
        class: Arc<JobClass>,
        patience: Duration,
        now: Duration,
    ) -> Vec<Action> {
        let ratio = self.reference_ratio(&class);
        let fastest = self.fastest_ratio(&job, &class);
        let has_waited =
            self.mechanisms.waited_last && self.patience.has_waited(&class.route, patience);
        self.patience.observe(&class.route, patience);
        let class = if self.mechanisms.priority {
            class
        } else {
            Arc::new(JobClass {
                priority: 0,
                ..JobClass::clone(&class)
            })
        };
        self.reserve.record_arrival(class.priority, now);
        let mut active = ActiveJob::new(number, job, class, patience, ratio, now)
            .with_waited(has_waited)
            .with_fastest_ratio(fastest);
        self.crashes.restore(&mut active, now);
        let mut actions = Vec::new();
        if let Some(crashed) = active.crashed_agents() {
            let decision = job_decision("failed", &active, now)
                .with("reason", "a task of it crashes upstreams")
                .with("crashed", crashed);
            actions.push(Action::Log(decision.failed()));
            actions.push(Action::Answer(number, Answer::Failed));
            return actions;
        }
        match self.admit(&active, now) {
            Ok((decision, is_held)) => {
                if is_held {
                    self.expectation.hold(number);
                }
                actions.push(Action::Log(decision));
                self.queue.insert(active.rank());
                self.jobs.insert(number, active);
                self.may_place = true;
            }
            Err((answer, decision)) => {
                if matches!(
                    answer,
                    Answer::Refused {
                        is_overload: true,
                        ..
                    }
                ) {
                    self.reserve.record_outcome(active.class.priority, false);
                }
                actions.push(Action::Log(decision));
                actions.push(Action::Answer(number, answer));
            }
        }
        actions
    }

    /// The usual least patience of each route's callers, where it is known, and whether this
    /// process has seen enough of them to replace what other processes have learned.
    pub fn usual_patience(&self) -> impl Iterator<Item = (&Name, Duration, bool)> {
        self.patience.iter()
    }

    /// Takes over the usual least patience of a route's callers that was recorded before this
    /// process started. It counts until this process has seen enough callers itself.
    pub fn adopt_patience(&mut self, route: &Name, least: Duration) {
        self.patience.adopt(route, least);
    }

    /// The room that is usual here for each service, once this process has seen it.
    pub fn usual_room(&self, now: Duration) -> impl Iterator<Item = (&Name, UsualRoom)> {
        self.expectation.seen(now)
    }

    /// Takes over the usual room of a service that was recorded before this process started. It
    /// only counts while this process starts.
    ///
    /// ```
    /// use cassiarock_transient::Scheduler;
    /// use cassiarock_transient::scheduler::UsualRoom;
    /// let mut scheduler = Scheduler::new();
    /// let room = UsualRoom { upstreams: 50, cpu: 1_600_000, entries: 8 };
    /// scheduler.adopt_room(&"desk".into(), room);
    /// assert_eq!(scheduler.room_milestones(), [None; 3]);
    /// ```
    pub fn adopt_room(&mut self, service: &Name, room: UsualRoom) {
        self.expectation.adopt(service, room);
    }

    /// When the first agent, half and all of the room on record were open, if they were so while
    /// this process started.
    #[must_use]
    pub const fn room_milestones(&self) -> [Option<Duration>; 3] {
        self.expectation.milestones()
    }

    /// What was learned of the run times of each route on each kind of upstream, where it was
    /// learned from enough tasks to be told to other processes.
    ///
    /// ```
    /// assert_eq!(cassiarock_transient::Scheduler::new().usual_run_times().count(), 0);
    /// ```
    pub fn usual_run_times(&self) -> impl Iterator<Item = (&Name, &Name, RunTime)> {
        self.run_times.iter()
    }

    /// Takes over what was recorded before this process started of a route's run times on a kind of
    /// upstream. It counts until this process has seen enough tasks itself; what is implausible is
    /// left out.
    pub fn adopt_run_times(&mut self, route: &Name, kind: &Name, learned: RunTime) {
        self.run_times.adopt(route, kind, learned);
    }

    /// Drops a job whose caller has left or has cancelled it, and stops its tasks.
    pub fn abandon(&mut self, number: u64, reason: &'static str, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(active) = self.remove(number) else {
            return actions;
        };
        actions.push(Action::Log(
            job_decision("abandoned", &active, now).with("reason", reason),
        ));
        self.halt_all(&active, &mut actions);
        actions
    }

    /// Runs the checks that are due and places waiting tasks.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let gap = now.saturating_sub(self.last_poll);
        if gap >= FREEZE_THRESHOLD && !self.last_poll.is_zero() {
            self.paused_until = now + PAUSE_AFTER_FREEZE;
            let decision = Decision::new("thawed", "", "").with("gap_ms", gap.as_millis());
            actions.push(Action::Log(decision.failed()));
        }
        self.last_poll = now;
        if now >= self.last_check + CHECK_INTERVAL {
            self.last_check = now;
            self.update_ejections();
            self.reclaim(now, &mut actions);
            self.end_jobs_cut_short(now, &mut actions);
            self.end_hopeless_jobs(now, &mut actions);
            self.handle_missed_starts(now, &mut actions);
            self.clear_leaving_upstreams(now, &mut actions);
            self.move_overdue_tasks(now, &mut actions);
            self.heartbeat(now, &mut actions);
            self.observe_room(now);
            self.may_place = true;
        }
        if now >= self.paused_until && self.may_place {
            self.place(now, &mut actions);
            self.may_place = false;
            self.refuse_held(now, &mut actions);
        }
        actions
    }

    /// When [`Self::poll`] has to be called next.
    #[must_use]
    pub fn next_poll(&self, now: Duration) -> Duration {
        // All timeouts are handled by the checks.
        (self.last_check + CHECK_INTERVAL).max(now)
    }

    /// Removes a job, and its tasks from the counts of the agents.
    fn remove(&mut self, number: u64) -> Option<ActiveJob> {
        let active = self.jobs.remove(&number)?;
        self.queue.remove(&active.rank());
        for (agent, _) in active.placed() {
            if let Some(agent) = self.agents.get_mut(&agent) {
                agent.placed = agent.placed.saturating_sub(1);
            }
        }
        Some(active)
    }

    /// Orders the agents to stop all tasks of a job.
    fn halt_all(&self, active: &ActiveJob, actions: &mut Vec<Action>) {
        let mut halts: BTreeMap<Process, Vec<crate::message::Attempt>> = BTreeMap::new();
        for (agent, attempt) in active.placed() {
            halts.entry(agent).or_default().push(attempt);
        }
        for (agent, attempts) in halts {
            actions.push(Action::Send(agent, Message::Halt(attempts)));
        }
    }
}

/// Creates a decision about a job, with the fields that all of them have.
fn job_decision(kind: &'static str, active: &ActiveJob, now: Duration) -> Decision {
    Decision::new(kind, active.job.request.clone(), active.job.id.clone())
        .with("route", &active.class.route)
        .with("version", active.class.version)
        .with("age_ms", now.saturating_sub(active.arrived).as_millis())
        .with(
            "left_ms",
            active.useful_until.saturating_sub(now).as_millis(),
        )
        .with(
            "leaves_ms",
            active.caller_deadline.saturating_sub(now).as_millis(),
        )
        .with("tasks", active.job.task_count())
        .with("not_done", active.tasks_left)
        .with("has_waited", active.has_waited)
}
