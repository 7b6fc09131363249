//! The agent's side: which tasks run on its upstream, for whom, and until when.

mod health;
mod lease;
mod owner;
mod run;
mod worker;

pub use run::{Answer, Look, Named, Run, Task};
pub use worker::Worker;

use crate::message::{Attempt, End, Ending, Load, Message, Order, Upstream};
use crate::timing::{BEAT, CONTACT};
use crate::{Decision, Demand};
use cassiarock_id::{Name, Process};
use health::Health;
use lease::Lease;
use owner::Owner;
use run::{Phase, Runs};
use std::collections::BTreeMap;
use std::time::Duration;

/// A stop that is not confirmed by an end is ordered again after this time: the upstream
/// needs up to 50 ms for it.
const STOP_AGAIN: Duration = Duration::from_millis(100);

/// How long ends are kept for an entry whose link has broken. After `RECLAIM` it no longer
/// waits for them.
const KEEP: Duration = Duration::from_secs(2);

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an entry.
    Send(Process, Message),
    /// Order the upstream to start a task; answer with [`Host::started`].
    Start {
        /// The task and its attempt.
        task: Task,
        /// What the task is told.
        spec: Name,
        /// On the upstream's clock, in milliseconds: after this the order is void.
        until: u64,
    },
    /// Order the upstream to stop a task; its end comes with a look.
    Stop(Task),
    /// Look at the upstream at once, beside the look that waits.
    Look,
    /// A line for the log.
    Tell(Decision),
}

/// What an agent knows of its upstream and of the tasks on it.
#[derive(Debug, Default)]
pub struct Host {
    worker: Option<Worker>,
    runs: Runs,
    owners: BTreeMap<Process, Owner>,
    health: Health,
    lease: Lease,
    /// Ends of the upstream up to this number have been taken.
    seen: u64,
    /// Whether the upstream has been looked at in its present life. Until then an earlier
    /// life of the agent may have tasks on it, so nothing is started.
    is_known: bool,
    is_leaving: bool,
    version: u64,
}

impl Host {
    /// An agent that knows no upstream.
    ///
    /// ```
    /// assert!(cassiarock_transient::Host::new().worker().is_none());
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The upstream as its last report says, if there is one.
    #[must_use]
    pub const fn worker(&self) -> Option<&Worker> {
        self.worker.as_ref()
    }

    /// How many attempts are on the upstream.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// The number of the last end taken, for the next look.
    #[must_use]
    pub const fn seen(&self) -> u64 {
        self.seen
    }

    /// Until when the next look renews all leases, on the upstream's clock; not at all while
    /// the upstream does not answer, so that the leases are known to lapse.
    pub fn renew(&mut self, now: Duration) -> Option<u64> {
        (!self.lease.is_silent(now)).then(|| self.lease.renew(now))
    }

    /// The newest version of the configuration that an entry has told.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The upstream reports. A report of a life that has been followed by another is old news
    /// that a broken network had held up.
    pub fn report(&mut self, worker: Worker, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        match &self.worker {
            Some(known) if known.id == worker.id => {
                if worker.sequence < known.sequence {
                    return actions;
                }
                let is_same = known.upstream() == worker.upstream();
                self.worker = Some(worker);
                if !is_same {
                    self.tell_upstream(&mut actions, "the upstream changed");
                }
            }
            Some(known) if known.was.contains(&worker.id) => {
                actions.push(Action::Tell(
                    Decision::new("report ignored", "", "")
                        .with("upstream", &worker.id)
                        .with("reason", "an earlier life"),
                ));
            }
            known => {
                let was = known.as_ref().map(Worker::lives).unwrap_or_default();
                self.lose_all(&mut actions, now, "the upstream restarted");
                self.lease = Lease::new(worker.clock, now);
                self.worker = Some(worker.after(was));
                self.seen = 0;
                self.is_known = false;
                self.health = Health::default();
                self.tell_upstream(&mut actions, "a new upstream");
            }
        }
        actions
    }

    /// The upstream is gone: it said so, or another life answers at its address.
    pub fn gone(&mut self, id: &str, reason: &'static str, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.worker.as_ref().is_none_or(|worker| &*worker.id != id) {
            return actions;
        }
        self.lose_all(&mut actions, now, reason);
        if let Some(worker) = &mut self.worker {
            worker.is_gone = true;
        }
        self.is_known = false;
        self.tell_upstream(&mut actions, reason);
        actions
    }

    /// This agent takes no new work any more.
    pub fn leave(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.is_leaving = true;
        self.tell_upstream(&mut actions, "the agent is leaving");
        actions
    }

    /// A link to `entry` opened: tell it all it needs, and which of its attempts are here.
    pub fn link(&mut self, entry: &Process, now: Duration) -> Vec<Action> {
        let owner = self.owners.entry(entry.clone()).or_default();
        owner.link();
        let mut held: Vec<Attempt> = self.runs.of(entry).collect();
        held.extend(owner.kept.iter().map(|(_, ending)| ending.attempt));
        let kept: Vec<Ending> = owner.kept.iter().map(|(_, ending)| *ending).collect();
        let upstream = self.upstream();
        let mut actions = vec![
            Action::Send(entry.clone(), Message::Upstream(upstream)),
            Action::Send(entry.clone(), Message::Held(held)),
        ];
        if !kept.is_empty() {
            let message = self.ended(entry, kept, now);
            actions.push(Action::Send(entry.clone(), message));
        }
        actions.push(self.beat_for(entry, now));
        actions
    }

    /// The link to `entry` is gone. Its attempts go on for a while: it may come back.
    pub fn unlink(&mut self, entry: &Process) {
        if let Some(owner) = self.owners.get_mut(entry) {
            owner.is_linked = false;
        }
    }

    /// An entry orders tasks. `echo` is this agent's clock as the entry last heard it.
    ///
    /// An order that waited in a socket while this process was frozen is worthless: its entry
    /// may have started the tasks elsewhere. The echo shows it, whatever delayed the order.
    pub fn order(
        &mut self,
        entry: &Process,
        serial: u64,
        echo: Duration,
        orders: Vec<Order>,
        now: Duration,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let owner = self.owners.entry(entry.clone()).or_default();
        owner.heard(echo);
        owner.serial = serial;
        let age = now.saturating_sub(echo);
        let is_stale = age >= CONTACT;
        let mut endings = Vec::new();
        for order in orders {
            let asked = order.tasks.len();
            let mut turned = Vec::new();
            for start in &order.tasks {
                let attempt = Attempt {
                    number: order.number,
                    stage: start.stage,
                    index: start.index,
                    attempt: start.attempt,
                };
                let task = Task {
                    job: order.job.clone(),
                    attempt,
                };
                let refusal = if is_stale {
                    Some(End::Stale)
                } else {
                    self.obstacle(&task, &start.demand, &mut actions, now)
                };
                if let Some(end) = refusal {
                    turned.push(end);
                    endings.push(unrun(attempt, end));
                    continue;
                }
                let run = Run::new(entry.clone(), order.request.clone(), start, now);
                self.runs.add(task.clone(), run);
                actions.push(Action::Start {
                    task,
                    spec: order.spec.clone(),
                    until: self.lease.renew(now),
                });
            }
            actions.push(Action::Tell(self.taken(&order, asked, &turned, age)));
        }
        if !endings.is_empty() {
            self.end_all(entry, endings, now, &mut actions);
        }
        actions
    }

    /// An entry no longer wants these.
    pub fn halt(&mut self, entry: &Process, attempts: &[Attempt], now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for attempt in attempts {
            if let Some(task) = self.runs.find(entry, attempt) {
                self.stop(&task, "nobody waits", now, &mut actions);
            }
        }
        actions
    }

    /// An entry's heartbeat.
    pub fn heard(&mut self, entry: &Process, echo: Duration, version: u64) {
        self.version = self.version.max(version);
        if let Some(owner) = self.owners.get_mut(entry) {
            owner.heard(echo);
        }
    }

    /// The upstream's answer to a start.
    pub fn started(
        &mut self,
        task: &Task,
        answer: Answer,
        clock: Option<u64>,
        now: Duration,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.lease.hear(clock, now);
        let Some(run) = self.runs.get_mut(task) else {
            return actions;
        };
        let end = match answer {
            Answer::Started => {
                if matches!(run.phase, Phase::Starting) {
                    run.phase = Phase::Running;
                }
                return actions;
            }
            // It may be carried out yet, up to its time limit; the stop forbids that.
            Answer::Silent => {
                self.stop(task, "the start was not answered", now, &mut actions);
                return actions;
            }
            Answer::Full => End::Full,
            Answer::Passed => End::Passed,
            Answer::Refused => End::Refused,
        };
        self.end(task, end, now, &mut actions);
        actions
    }

    /// What a look at the upstream showed.
    pub fn look(&mut self, look: &Look, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.lease.hear(Some(look.clock), now);
        for (number, job, attempt, end) in &look.ended {
            if *number <= self.seen {
                continue;
            }
            self.seen = *number;
            if let Some(task) = self.runs.named(job, attempt) {
                self.end(&task, *end, now, &mut actions);
            }
        }
        self.reconcile(look, now, &mut actions);
        if !self.is_known {
            self.is_known = look.running.is_empty();
        }
        actions
    }

    /// Carries out what is due.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.stop_abandoned(now, &mut actions);
        self.stop_again(now, &mut actions);
        self.lapse(now, &mut actions);
        for owner in self.owners.values_mut() {
            owner.forget(now);
        }
        let runs = &self.runs;
        self.owners
            .retain(|entry, owner| owner.is_linked || !owner.is_idle(now) || runs.has(entry));
        self.broadcast(now, &mut actions);
        actions
    }

    /// When [`Self::poll`] has to be called next.
    #[must_use]
    pub fn wake(&self, now: Duration) -> Duration {
        let linked = self.owners.values().filter(|owner| owner.is_linked);
        let next = linked.map(|owner| owner.told + BEAT).min();
        next.unwrap_or(now + BEAT)
    }

    fn taken(&self, order: &Order, asked: usize, turned: &[End], age: Duration) -> Decision {
        let told = Decision::new("order", order.request.clone(), order.job.clone())
            .with("tasks", asked)
            .with("turned_away", turned.len())
            .with("echo_age_ms", age.as_millis())
            .with("free_cpu", self.free().cpu)
            .with("running", self.runs.len());
        match turned.first() {
            Some(end) => told.with("reason", format_args!("{end:?}")),
            None => told,
        }
    }

    /// Why `task` cannot be started now, if anything stands in its way.
    fn obstacle(
        &mut self,
        task: &Task,
        demand: &Demand,
        actions: &mut Vec<Action>,
        now: Duration,
    ) -> Option<End> {
        let Some(worker) = &self.worker else {
            return Some(End::Closed);
        };
        let is_shut = self.is_leaving || worker.is_leaving || worker.is_gone;
        if is_shut || !self.is_known || self.lease.is_silent(now) {
            return Some(End::Closed);
        }
        // The caller submitted the job again while an earlier submission's task is here: that
        // one has to end first, or the task would run twice at once.
        if let Some(earlier) = self.runs.same(task) {
            self.stop(&earlier, "its job was submitted again", now, actions);
            return Some(End::Busy);
        }
        (!demand.fits(&self.free())).then_some(End::Full)
    }

    fn stop(
        &mut self,
        task: &Task,
        reason: &'static str,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        if matches!(run.phase, Phase::Stopping(_)) {
            return;
        }
        run.phase = Phase::Stopping(now);
        let told = Decision::new("stop", run.request.clone(), task.job.clone())
            .with("task", task)
            .with("reason", reason)
            .with("ran_ms", now.saturating_sub(run.since).as_millis());
        actions.push(Action::Tell(told));
        actions.push(Action::Stop(task.clone()));
    }

    /// Compares what the upstream runs with what was ordered. A task that is there unasked is
    /// a leftover of an earlier life of this agent, or an order that the upstream carried out
    /// seconds late: nobody waits for it, and its entry may have started it elsewhere.
    fn reconcile(&mut self, look: &Look, now: Duration, actions: &mut Vec<Action>) {
        for (job, attempt) in &look.running {
            match self.runs.named(job, attempt) {
                Some(task) => {
                    if let Some(run) = self.runs.get_mut(&task) {
                        run.listed = true;
                        if matches!(run.phase, Phase::Starting) {
                            run.phase = Phase::Running;
                        }
                    }
                }
                None => {
                    let task = Task::named(job, attempt);
                    let told = Decision::new("stop", "", job.clone())
                        .with("task", &task)
                        .with("reason", "it runs unasked")
                        .failed();
                    actions.push(Action::Tell(told));
                    actions.push(Action::Stop(task));
                }
            }
        }
        self.end_unlisted(look, now, actions);
    }

    /// An attempt that was stopped, is not listed and whose order is void by now never ran.
    fn end_unlisted(&mut self, look: &Look, now: Duration, actions: &mut Vec<Action>) {
        let void: Vec<Task> =
            self.runs
                .iter()
                .filter(|(task, run)| {
                    let is_stopped = run.stopped.is_some_and(|at| at <= look.asked);
                    let is_listed = look.running.iter().any(|(job, attempt)| {
                        *job == task.job && attempt.is_same_start(&task.attempt)
                    });
                    is_stopped && !is_listed
                })
                .map(|(task, _)| task.clone())
                .collect();
        for task in void {
            let is_unrun = self.runs.get(&task).is_some_and(|run| !run.listed);
            let end = if is_unrun { End::Refused } else { End::Stopped };
            self.end(&task, end, now, actions);
        }
    }

    /// The upstream confirmed a stop: the attempt has ended or can never start. If it was
    /// never seen to run, a look at once tells which, and its entry need not wait.
    pub fn stopped(&mut self, task: &Task, clock: Option<u64>, now: Duration) -> Vec<Action> {
        self.lease.hear(clock, now);
        let Some(run) = self.runs.get_mut(task) else {
            return Vec::new();
        };
        run.stopped = run.stopped.or(Some(now));
        if run.listed {
            return Vec::new();
        }
        vec![Action::Look]
    }

    fn end(&mut self, task: &Task, end: End, now: Duration, actions: &mut Vec<Action>) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        let ran = now.saturating_sub(run.since);
        // A start that its upstream left unanswered or a stop that was ordered say nothing of
        // the upstream's health, a failure does.
        self.health.end(&task.job, end, ran, run.expected, now);
        if !matches!(end, End::Done) {
            let told = Decision::new("ended", run.request.clone(), task.job.clone())
                .with("task", task)
                .with("end", format_args!("{end:?}"))
                .with("ran_ms", ran.as_millis())
                .with("expected_ms", run.expected.as_millis());
            actions.push(Action::Tell(told));
        }
        let ending = Ending {
            attempt: task.attempt,
            end,
            ran,
        };
        self.end_all(&run.owner, vec![ending], now, actions);
    }

    fn end_all(
        &mut self,
        entry: &Process,
        endings: Vec<Ending>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let owner = self.owners.entry(entry.clone()).or_default();
        owner.keep(&endings, now, KEEP);
        if !owner.is_linked {
            return;
        }
        owner.told = now;
        // Ends of one look go in one message.
        if let Some(Action::Send(to, Message::Ended { endings: more, .. })) = actions.last_mut()
            && to == entry
        {
            more.extend(endings);
            return;
        }
        let message = self.ended(entry, endings, now);
        actions.push(Action::Send(entry.clone(), message));
    }

    fn ended(&self, entry: &Process, endings: Vec<Ending>, now: Duration) -> Message {
        Message::Ended {
            clock: millis(now),
            endings,
            load: self.load(entry, now),
        }
    }

    /// All attempts have ended with their upstream.
    fn lose_all(&mut self, actions: &mut Vec<Action>, now: Duration, reason: &'static str) {
        let tasks: Vec<Task> = self.runs.iter().map(|(task, _)| task.clone()).collect();
        if !tasks.is_empty() {
            let told = Decision::new("all lost", "", "")
                .with("reason", reason)
                .with("tasks", tasks.len())
                .failed();
            actions.push(Action::Tell(told));
        }
        for task in tasks {
            self.end(&task, End::Lost, now, actions);
        }
    }

    /// Stops the tasks of entries that this agent no longer hears, or that no longer hear it:
    /// they will start the tasks elsewhere.
    fn stop_abandoned(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let lost = |owner: &Owner| now.saturating_sub(owner.echo) >= CONTACT;
        let abandoned: Vec<Task> = self
            .runs
            .iter()
            .filter(|(_, run)| !matches!(run.phase, Phase::Stopping(_)))
            .filter(|(_, run)| self.owners.get(&run.owner).is_none_or(lost))
            .map(|(task, _)| task.clone())
            .collect();
        for task in abandoned {
            self.stop(&task, "its entry is out of reach", now, actions);
        }
    }

    fn stop_again(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for (task, run) in self.runs.iter_mut() {
            if let Phase::Stopping(at) = run.phase
                && run.stopped.is_none()
                && now >= at + STOP_AGAIN
            {
                run.phase = Phase::Stopping(now);
                actions.push(Action::Stop(task.clone()));
            }
        }
    }

    /// Ends everything once the leases must have lapsed: the upstream has not answered, and
    /// what ran there is over by its own clock.
    fn lapse(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.runs.is_empty() || !self.lease.has_lapsed(now) {
            return;
        }
        self.lose_all(actions, now, "the upstream does not answer");
    }

    /// A heartbeat to each entry that has been told nothing for a while. Ends carry the same,
    /// so that under load few are needed: at 52 agents and 8 entries they were half of all
    /// messages.
    fn broadcast(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let due = |owner: &Owner| owner.is_linked && now >= owner.told + BEAT;
        let due: Vec<Process> = self
            .owners
            .iter()
            .filter(|(_, owner)| due(owner))
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in due {
            actions.push(self.beat_for(&entry, now));
            if let Some(owner) = self.owners.get_mut(&entry) {
                owner.told = now;
            }
        }
    }

    fn beat_for(&self, entry: &Process, now: Duration) -> Action {
        let message = Message::AgentBeat {
            clock: millis(now),
            version: self.version,
            load: self.load(entry, now),
        };
        Action::Send(entry.clone(), message)
    }

    fn tell_upstream(&mut self, actions: &mut Vec<Action>, reason: &'static str) {
        let upstream = self.upstream();
        let mut told = Decision::new("upstream", "", "").with("reason", reason);
        if let Some(upstream) = &upstream {
            told = told
                .with("upstream", &upstream.id)
                .with("service", &upstream.service)
                .with("cpu", upstream.capacity.cpu)
                .with("leaving", upstream.is_leaving);
        }
        actions.push(Action::Tell(told));
        for (entry, owner) in &self.owners {
            if owner.is_linked {
                let message = Message::Upstream(upstream.clone());
                actions.push(Action::Send(entry.clone(), message));
            }
        }
    }

    fn upstream(&self) -> Option<Upstream> {
        let worker = self.worker.as_ref().filter(|worker| !worker.is_gone)?;
        let mut upstream = worker.upstream();
        upstream.is_leaving |= self.is_leaving;
        Some(upstream)
    }

    fn free(&self) -> Demand {
        let capacity = self.worker.as_ref().map(|worker| worker.capacity);
        capacity.unwrap_or_default().minus(&self.runs.taken())
    }

    fn load(&self, entry: &Process, now: Duration) -> Load {
        let worker = self.worker.as_ref();
        let is_open = self.is_known
            && !self.lease.is_silent(now)
            && !self.is_leaving
            && worker.is_some_and(|worker| !worker.is_gone && !worker.is_leaving);
        let entries = self.owners.values().filter(|owner| owner.is_linked).count();
        Load {
            seen: self.owners.get(entry).map_or(0, |owner| owner.serial),
            free: if is_open {
                self.free()
            } else {
                Demand::default()
            },
            failing: self.health.failing(now),
            pace: self.health.pace(),
            entries: u16::try_from(entries).unwrap_or(u16::MAX),
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

const fn unrun(attempt: Attempt, end: End) -> Ending {
    Ending {
        attempt,
        end,
        ran: Duration::ZERO,
    }
}
