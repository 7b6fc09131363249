//! The entry's side: which jobs are taken, in which order their tasks are placed, and where.

mod action;
mod admit;
mod agent;
mod ask;
mod chance;
mod choose;
mod crash;
mod eject;
mod expire;
mod kinds;
mod link;
mod lost;
mod mechanisms;
mod patience;
mod place;
mod rank;
mod rate;
mod ratio;
mod reserve;
mod settle;
mod shift;
mod work;

use crate::message::Message;
use crate::{Decision, Job, JobClass, evacuation};
use agent::Agent;
use cassiarock_id::{Name, Process};
use chance::Chance;
use crash::Crashes;
use kinds::Kinds;
use patience::Patience;
use rank::Rank;
use rate::Rate;
use ratio::Ratios;
use reserve::Reserve;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use work::Work;

pub use action::{Action, Answer, Latency};
pub use mechanisms::Mechanisms;

/// A process that was not run for this long may hold requests whose callers have left and
/// submitted them elsewhere. It learns of that from its sockets first.
const FROZEN: Duration = Duration::from_millis(300);

/// How long it then places nothing: several rounds of reading all sockets.
const THAW: Duration = Duration::from_millis(50);

/// The pause between two looks at all that depends on time alone: lost agents, jobs out of
/// time, slow upstreams. Each costs a pass over all jobs and agents.
const CHECK: Duration = Duration::from_millis(20);

/// The jobs and agents of one entry.
#[derive(Debug, Default)]
pub struct Scheduler {
    agents: BTreeMap<Process, Agent>,
    works: BTreeMap<u64, Work>,
    /// Jobs with tasks that wait, the one that has to start first at the front.
    queue: BTreeSet<Rank>,
    /// The kinds of upstream known so far.
    kinds: Kinds,
    /// How much work is being placed.
    rate: Rate,
    /// How long tasks run in terms of their estimates.
    ratios: Ratios,
    /// How long callers usually wait.
    patience: Patience,
    /// How jobs of each priority fare.
    reserve: Reserve,
    /// When it was last polled: a gap shows a freeze.
    polled: Duration,
    /// Until when nothing is placed after a freeze.
    paused: Duration,
    /// When all that depends on time alone was last looked at.
    checked: Duration,
    /// The median of the upstreams' pace, in hundredths.
    median: f64,
    /// The version of the configuration in force.
    version: u64,
    /// The data centres that operators are emptying.
    evacuations: evacuation::State,
    /// Upstreams that were lost with what ran there.
    crashes: Crashes,
    /// Agents where tasks run that may crash upstreams.
    suspected: BTreeSet<Process>,
    /// Which mechanisms decide.
    mechanisms: Mechanisms,
    chance: Chance,
    /// The job for which agents were last asked for room, and when.
    asked: Option<(u64, Duration)>,
    /// Whether something has come since the last poll that may allow tasks to be placed.
    is_stirred: bool,
}

impl Scheduler {
    /// A scheduler without agents.
    ///
    /// ```
    /// assert_eq!(cassiarock_transient::Scheduler::new().job_count(), 0);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The same with these mechanisms only.
    #[must_use]
    pub fn with_mechanisms(self, mechanisms: Mechanisms) -> Self {
        Self { mechanisms, ..self }
    }

    /// The same with chance from a seed.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> Self {
        Self {
            chance: Chance::new(seed),
            ..self
        }
    }

    /// Jobs without an answer.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.works.len()
    }

    /// Jobs of which nothing has started.
    #[must_use]
    pub fn unstarted_job_count(&self, route: &str) -> usize {
        let works = self.works.values();
        let unstarted = works.filter(|work| !work.may_have_run() && &*work.class.route == route);
        unstarted.count()
    }

    /// Agents that can be given tasks.
    #[must_use]
    pub fn open_agent_count(&self, now: Duration) -> usize {
        let agents = self.agents.values();
        agents.filter(|agent| agent.is_open(now)).count()
    }

    /// Tasks at agents of this data centre.
    #[must_use]
    pub fn placed_in(&self, data_centre: &str) -> usize {
        let agents = self.agents.values();
        let there = agents.filter(|agent| &*agent.data_centre == data_centre);
        there.map(|agent| agent.placed).sum()
    }

    /// The linked agents.
    pub fn linked_agents(&self) -> impl Iterator<Item = &Process> {
        let agents = self.agents.iter();
        agents
            .filter(|(_, agent)| agent.is_linked)
            .map(|(process, _)| process)
    }

    /// The version of the configuration in force, for heartbeats.
    pub const fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// The number of the unanswered job with this id, if it is here.
    #[must_use]
    pub fn find_job(&self, job: &str) -> Option<u64> {
        let mut works = self.works.values();
        let found = works.find(|work| &*work.job.id == job);
        found.map(|work| work.number)
    }

    /// Whether the job with this number has started.
    #[must_use]
    pub fn is_started(&self, number: u64) -> bool {
        self.works.get(&number).is_some_and(Work::may_have_run)
    }

    /// Takes a job in, or refuses it at once. The shell gives each job a number of its own.
    /// Its caller leaves after `patience`.
    pub fn submit(
        &mut self,
        number: u64,
        job: Job,
        class: Arc<JobClass>,
        patience: Duration,
        now: Duration,
    ) -> Vec<Action> {
        let ratio = self.ratios.of(&class.route);
        let has_waited =
            self.mechanisms.waited_last && self.patience.is_spent(&class.route, patience);
        self.patience.learn(&class.route, patience);
        let class = if self.mechanisms.priority {
            class
        } else {
            Arc::new(JobClass {
                priority: 0,
                ..JobClass::clone(&class)
            })
        };
        self.reserve.arrive(class.priority, now);
        let mut work = Work::new(number, job, class, patience, ratio, now).with_waited(has_waited);
        self.crashes.recall(&mut work, now);
        let mut actions = Vec::new();
        if let Some(crashed) = work.crashed() {
            let told = told("failed", &work, now)
                .with("reason", "a task of it crashes upstreams")
                .with("crashed", crashed);
            actions.push(Action::Log(told.failed()));
            actions.push(Action::Answer(number, Answer::Failed));
            return actions;
        }
        match self.admit(&work, now) {
            Ok(told) => {
                actions.push(Action::Log(told));
                self.queue.insert(work.rank());
                self.works.insert(number, work);
                self.is_stirred = true;
            }
            Err((answer, told)) => {
                if matches!(
                    answer,
                    Answer::Refused {
                        is_overload: true,
                        ..
                    }
                ) {
                    self.reserve.learn(work.class.priority, false);
                }
                actions.push(Action::Log(told));
                actions.push(Action::Answer(number, answer));
            }
        }
        actions
    }

    /// The usual least patience of each route's callers, as far as it is known, and whether
    /// this process has seen enough of them to replace what others have learned.
    pub fn usual_patience(&self) -> impl Iterator<Item = (&Name, Duration, bool)> {
        self.patience.all()
    }

    /// What was known of a route's callers before this process started; it counts until this
    /// process has seen enough of them itself.
    pub fn adopt_patience(&mut self, route: &Name, least: Duration) {
        self.patience.adopt(route, least);
    }

    /// The caller has left or has cancelled the job: nobody waits for it any more.
    pub fn abandon(&mut self, number: u64, reason: &'static str, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(work) = self.remove(number) else {
            return actions;
        };
        actions.push(Action::Log(
            told("abandoned", &work, now).with("reason", reason),
        ));
        self.halt_all(&work, &mut actions);
        actions
    }

    /// Carries out what is due.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let gap = now.saturating_sub(self.polled);
        if gap >= FROZEN && !self.polled.is_zero() {
            self.paused = now + THAW;
            let told = Decision::new("thawed", "", "").with("gap_ms", gap.as_millis());
            actions.push(Action::Log(told.failed()));
        }
        self.polled = now;
        if now >= self.checked + CHECK {
            self.checked = now;
            self.judge();
            self.reclaim(now, &mut actions);
            self.give_up(now, &mut actions);
            self.pass_over(now, &mut actions);
            self.shift(now, &mut actions);
            self.heartbeat(now, &mut actions);
            self.is_stirred = true;
        }
        if now >= self.paused && self.is_stirred {
            self.place(now, &mut actions);
            self.is_stirred = false;
        }
        actions
    }

    /// When [`Self::poll`] has to be called next.
    #[must_use]
    pub fn next_poll(&self, now: Duration) -> Duration {
        // What waits for a time is looked at with each check.
        (self.checked + CHECK).max(now)
    }

    fn remove(&mut self, number: u64) -> Option<Work> {
        let work = self.works.remove(&number)?;
        self.queue.remove(&work.rank());
        for (agent, _) in work.placed() {
            if let Some(agent) = self.agents.get_mut(&agent) {
                agent.placed = agent.placed.saturating_sub(1);
            }
        }
        Some(work)
    }

    /// Tells the agents that nobody waits for the job's tasks.
    fn halt_all(&self, work: &Work, actions: &mut Vec<Action>) {
        let mut halts: BTreeMap<Process, Vec<crate::message::Attempt>> = BTreeMap::new();
        for (agent, attempt) in work.placed() {
            halts.entry(agent).or_default().push(attempt);
        }
        for (agent, attempts) in halts {
            actions.push(Action::Send(agent, Message::Halt(attempts)));
        }
    }
}

/// A line about a job, with what every line about one says.
fn told(what: &'static str, work: &Work, now: Duration) -> Decision {
    Decision::new(what, work.job.request.clone(), work.job.id.clone())
        .with("route", &work.class.route)
        .with("age_ms", now.saturating_sub(work.arrived).as_millis())
        .with("left_ms", work.limit.saturating_sub(now).as_millis())
        .with("leaves_ms", work.leaves.saturating_sub(now).as_millis())
        .with("tasks", work.job.task_count())
        .with("not_done", work.left)
        .with("has_waited", work.has_waited)
}
