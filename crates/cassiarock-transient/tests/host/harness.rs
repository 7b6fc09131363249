//! A simulated agent with an upstream and linked entries.

use cassiarock_id::Process;
use cassiarock_transient::host::{Action, AttemptKey, Snapshot, StartResponse, Task, Worker};
use cassiarock_transient::message::{Attempt, AttemptResult, Load, Order, Outcome, Start};
use cassiarock_transient::{Host, Incarnation, Message, Resources};
use std::time::Duration;

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn entry(number: u64) -> Process {
    Process::new(format!("entry-{number}"), 1)
}

/// An agent and the actions it has taken so far.
pub struct Harness {
    pub host: Host,
    pub now: Duration,
    pub starts: Vec<(Task, u64)>,
    pub stops: Vec<Task>,
    /// The number of immediate polls that were requested.
    pub polls: usize,
    pub results: Vec<(Process, AttemptResult)>,
    pub load: Load,
    /// The loss that ordered tasks are suspected of.
    pub suspect: Option<cassiarock_id::Name>,
    /// The offset of the upstream's clock from the agent's, in milliseconds.
    pub clock_offset_ms: u64,
    /// The incarnation at the upstream's address, which answers for itself and rejects calls that
    /// name another id.
    pub present: Incarnation,
    /// Whether it leaves calls unanswered.
    pub is_silent: bool,
    /// What it runs when it answers a poll that names it for the first time.
    pub leftover: Vec<(&'static str, u32)>,
}

impl Harness {
    /// An agent whose upstream has capacity for ten tasks of one core, linked to entry 1.
    pub fn new() -> Self {
        let mut harness = Self {
            host: Host::new(),
            now: ms(1_000),
            starts: Vec::new(),
            stops: Vec::new(),
            polls: 0,
            results: Vec::new(),
            load: Load::default(),
            suspect: None,
            clock_offset_ms: 500_000,
            present: Incarnation::default(),
            is_silent: false,
            leftover: Vec::new(),
        };
        harness.report("u-1", 1);
        harness.observe(&[], &[]);
        harness.link(1);
        harness
    }

    /// The same with a running task.
    pub fn running() -> Self {
        let mut harness = Self::new();
        harness.order(1, "j", 1);
        let (task, _) = harness.starts[0].clone();
        harness.respond_to_start(&task, StartResponse::Started);
        harness
    }

    pub fn clock(&self) -> u64 {
        u64::try_from(self.now.as_millis()).unwrap() + self.clock_offset_ms
    }

    pub fn report(&mut self, id: &str, sequence: u64) {
        self.report_incarnation(&Incarnation::new(id), sequence);
    }

    /// The upstream reports this CPU capacity from now on.
    pub fn resize(&mut self, cpu: u64) {
        let known = self.host.worker().cloned().unwrap_or_default();
        let worker = Worker {
            capacity: Resources::new(cpu, 1_000, 0),
            sequence: known.sequence + 1,
            ..known
        };
        let actions = self.host.handle_report(worker, self.now);
        self.apply(actions);
    }

    /// The given incarnation is at the upstream's address and reports.
    pub fn report_incarnation(&mut self, incarnation: &Incarnation, sequence: u64) {
        self.present = incarnation.clone();
        self.report_falsely(incarnation, sequence);
    }

    /// A report names the given incarnation, whoever is at the upstream's address.
    pub fn report_falsely(&mut self, incarnation: &Incarnation, sequence: u64) {
        let worker = Worker {
            id: incarnation.id.clone(),
            started_at: incarnation.started_at,
            service: "s".into(),
            capacity: Resources::new(10_000, 1_000, 0),
            clock: self.clock(),
            sequence,
            ..Worker::default()
        };
        let actions = self.host.handle_report(worker, self.now);
        self.apply(actions);
    }

    /// The incarnation of the upstream that the agent knows.
    pub fn incarnation(&self) -> Incarnation {
        self.host
            .worker()
            .map(Worker::incarnation)
            .unwrap_or_default()
    }

    /// A poll that was sent at `asked` is answered by this incarnation, with its clock at `clock`.
    pub fn poll_answered(
        &mut self,
        incarnation: &Incarnation,
        asked: Duration,
        clock: u64,
        running: &[(&str, u32)],
    ) {
        let running = running.iter();
        let snapshot = Snapshot {
            incarnation: incarnation.clone(),
            clock,
            asked,
            running: running
                .map(|(job, attempt)| ((*job).into(), attempt_key(*attempt)))
                .collect(),
            ended: Vec::new(),
        };
        let actions = self.host.handle_snapshot(&snapshot, self.now);
        self.apply(actions);
    }

    pub fn link(&mut self, number: u64) {
        let actions = self.host.link(&entry(number), self.now);
        self.apply(actions);
    }

    /// An entry that has just received the agent's clock orders one task of a job.
    pub fn order(&mut self, number: u64, job: &str, attempt: u32) {
        self.order_with_echo(number, job, attempt, self.now);
    }

    /// Like [`Self::order`], with the agent's clock as the entry last received it at `echo`.
    pub fn order_with_echo(&mut self, number: u64, job: &str, attempt: u32, echo: Duration) {
        let order = Order {
            number: 7,
            job: job.into(),
            request: "r-1".into(),
            spec: "what to do".into(),
            tasks: vec![Start {
                stage: 0,
                index: 0,
                attempt,
                demand: Resources::new(1_000, 64, 0),
                expected: ms(100),
                suspect: self.suspect.clone(),
            }],
        };
        let actions = self
            .host
            .handle_orders(&entry(number), 1, echo, vec![order], self.now);
        self.apply(actions);
    }

    pub fn respond_to_start(&mut self, task: &Task, answer: StartResponse) {
        let clock = Some(self.clock());
        let actions =
            self.host
                .handle_start_response(&self.incarnation(), task, answer, clock, self.now);
        self.apply(actions);
    }

    pub fn confirm_stop(&mut self, task: &Task) -> Vec<Action> {
        let clock = Some(self.clock());
        self.host
            .handle_stop_response(&self.incarnation(), task, clock, self.now)
    }

    /// A poll lists these attempts as running and these as ended.
    pub fn observe(&mut self, running: &[(&str, u32)], ended: &[(u64, &str, u32, Outcome)]) {
        let renewed = self.host.renew_leases(self.now);
        assert!(renewed.is_none_or(|until| until <= self.clock() + 1_000));
        let snapshot = Snapshot {
            incarnation: self.incarnation(),
            clock: self.clock(),
            asked: self.now,
            running: running
                .iter()
                .map(|(job, attempt)| ((*job).into(), attempt_key(*attempt)))
                .collect(),
            ended: ended
                .iter()
                .map(|(number, job, attempt, outcome)| {
                    (*number, (*job).into(), attempt_key(*attempt), *outcome)
                })
                .collect(),
        };
        let actions = self.host.handle_snapshot(&snapshot, self.now);
        self.apply(actions);
    }

    /// Whoever is at the upstream's address answers a poll that names `incarnation`.
    fn answer_verification(&mut self, incarnation: &Incarnation) {
        if self.is_silent {
            return;
        }
        let present = self.present.clone();
        if present.id == incarnation.id {
            let leftover = self.leftover.clone();
            self.poll_answered(&present, self.now, self.clock(), &leftover);
            return;
        }
        let actions = self.host.handle_replacement(incarnation, self.now);
        self.apply(actions);
    }

    /// A poll lists a task as ended. Returns the agent's actions.
    pub fn end_in_poll(
        &mut self,
        number: u64,
        job: &str,
        attempt: u32,
        outcome: Outcome,
    ) -> Vec<Action> {
        let snapshot = Snapshot {
            incarnation: self.incarnation(),
            clock: self.clock(),
            asked: self.now,
            running: Vec::new(),
            ended: vec![(number, job.into(), attempt_key(attempt), outcome)],
        };
        self.host.handle_snapshot(&snapshot, self.now)
    }

    /// Advances the time in steps of 10 ms while entry 1 keeps sending heartbeats.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now += ms(10);
            self.host.record_echo(&entry(1), self.now);
            self.poll();
        }
    }

    pub fn poll(&mut self) {
        let actions = self.host.poll(self.now);
        self.apply(actions);
    }

    pub fn outcome_of(&self, attempt: u32) -> Option<Outcome> {
        let mut results = self.results.iter();
        let found = results.find(|(_, result)| result.attempt.attempt == attempt);
        found.map(|(_, result)| result.outcome)
    }

    pub fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { task, until, .. } => self.starts.push((task, until)),
                Action::Stop(task) => self.stops.push(task),
                Action::Send(to, Message::Ended { results, load, .. }) => {
                    self.load = load;
                    let results = results.into_iter().map(|result| (to.clone(), result));
                    self.results.extend(results);
                }
                Action::Send(_, Message::AgentHeartbeat { load, .. }) => self.load = load,
                Action::Poll => self.polls += 1,
                Action::Verify(incarnation) => {
                    self.polls += 1;
                    self.answer_verification(&incarnation);
                }
                Action::Send(..) | Action::Log(_) => {}
            }
        }
    }
}

fn attempt_key(attempt: u32) -> AttemptKey {
    AttemptKey {
        stage: 0,
        index: 0,
        attempt,
    }
}

pub fn attempt_id(attempt: u32) -> Attempt {
    Attempt {
        number: 7,
        stage: 0,
        index: 0,
        attempt,
    }
}
