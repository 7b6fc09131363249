//! A harness for the scheduler: an entry with agents that start every task they are ordered to.

use cassiarock_id::Process;
use cassiarock_transient::message::{Attempt, AttemptResult, Load, Order, Outcome, Upstream};
use cassiarock_transient::scheduler::{Action, Answer};
use cassiarock_transient::{Job, JobClass, Message, Resources, Scheduler, Stage};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The capacity of each upstream: room for ten tasks.
pub const CAPACITY: Resources = Resources::new(10_000, 1_000, 0);

/// The data centre of all agents.
pub const DATA_CENTRE: &str = "dc-1";

/// The demand of each task.
pub const TASK_DEMAND: Resources = Resources::new(1_000, 64, 0);

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An attempt that an agent was ordered to start.
#[derive(Clone, Debug)]
pub struct Placed {
    pub agent: Process,
    pub attempt: Attempt,
    pub at: Duration,
}

/// The scheduler of an entry with simulated agents, and the actions it has taken so far.
pub struct Harness {
    pub scheduler: Scheduler,
    pub now: Duration,
    /// The attempts that run.
    pub placed: Vec<Placed>,
    /// The attempts that were ordered to stop.
    pub halted: Vec<Attempt>,
    /// The answer to each job, and when it was given.
    pub answers: BTreeMap<u64, (Answer, Duration)>,
    /// The serial number of the last orders that each agent received.
    serials: BTreeMap<Process, u64>,
}

impl Harness {
    /// Creates an entry with so many agents, all linked and idle.
    pub fn new(agents: usize) -> Self {
        let mut harness = Self {
            now: ms(1_000),
            ..Self::starting()
        };
        for number in 0..agents {
            harness.add_agent(agent(number));
        }
        harness.heartbeat_all();
        harness.poll();
        harness
    }

    /// Creates an entry that has just started and knows no agent.
    pub fn starting() -> Self {
        Self {
            scheduler: Scheduler::new(),
            now: ms(50),
            placed: Vec::new(),
            halted: Vec::new(),
            answers: BTreeMap::new(),
            serials: BTreeMap::new(),
        }
    }

    /// Links an agent with an idle upstream.
    pub fn add_agent(&mut self, agent: Process) {
        self.scheduler.link(&agent, &DATA_CENTRE.into(), self.now);
        self.deliver(&agent, Message::Held(vec![]));
        let id = format!("u-{}", agent.name);
        self.announce(&agent, &id, false);
    }

    /// Delivers what an agent says of its upstream.
    pub fn announce(&mut self, agent: &Process, id: &str, is_leaving: bool) {
        let upstream = Upstream {
            id: id.into(),
            started_at: None,
            service: "s".into(),
            capacity: CAPACITY,
            labels: vec![],
            is_leaving,
            ..Upstream::default()
        };
        self.deliver(agent, Message::Upstream(Some(upstream)));
    }

    /// Delivers a message of an agent to the entry.
    pub fn deliver(&mut self, agent: &Process, message: Message) {
        let actions = self.scheduler.handle_message(agent, message, self.now);
        self.apply(actions);
    }

    /// Delivers a heartbeat of each linked agent.
    pub fn heartbeat_all(&mut self) {
        let agents: Vec<Process> = self.scheduler.linked_agents().cloned().collect();
        for agent in agents {
            self.heartbeat_of(&agent, CAPACITY);
        }
    }

    /// Delivers a heartbeat of one agent, whose free room is `room` less the tasks of this entry.
    pub fn heartbeat_of(&mut self, agent: &Process, room: Resources) {
        let load = self.load(agent, room);
        let message = Message::AgentHeartbeat {
            clock: u64::try_from(self.now.as_millis()).unwrap(),
            load,
        };
        self.deliver(agent, message);
    }

    fn load(&self, agent: &Process, room: Resources) -> Load {
        let here = self.placed.iter().filter(|task| task.agent == *agent);
        Load {
            last_serial: self.serials.get(agent).copied().unwrap_or_default(),
            free: here.fold(room, |free, _| free.saturating_sub(&TASK_DEMAND)),
            failure_percent: 0,
            slowdown_percent: 100,
            entries: 1,
            is_offered: false,
        }
    }

    pub fn submit(&mut self, number: u64, tasks: u32, estimate: u64, patience: u64) {
        self.submit_job(number, job(number, tasks, estimate), patience);
    }

    /// Submits a job of 400 ms tasks on a route with this priority.
    pub fn submit_priority(&mut self, number: u64, tasks: u32, priority: u32) {
        let class = JobClass {
            priority,
            route: format!("r-{priority}").into(),
            ..JobClass::clone(&class())
        };
        let job = job(number, tasks, 400);
        let class = Arc::new(class);
        let actions = self
            .scheduler
            .submit(number, job, class, ms(3_000), self.now);
        self.apply(actions);
        self.poll();
    }

    pub fn submit_job(&mut self, number: u64, job: Job, patience: u64) {
        let actions = self
            .scheduler
            .submit(number, job, class(), ms(patience), self.now);
        self.apply(actions);
        self.poll();
    }

    pub fn poll(&mut self) {
        let actions = self.scheduler.poll(self.now);
        self.apply(actions);
    }

    /// Advances the time, with heartbeats of all agents.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now += ms(10);
            self.heartbeat_all();
            self.poll();
        }
    }

    /// Ends a running attempt.
    pub fn end(&mut self, attempt: Attempt, end: Outcome) {
        let at = self.placed.iter().position(|task| task.attempt == attempt);
        let task = self.placed.remove(at.unwrap());
        let ending = AttemptResult {
            attempt,
            outcome: end,
            ran: self.now - task.at,
        };
        let message = Message::Ended {
            clock: u64::try_from(self.now.as_millis()).unwrap(),
            results: vec![ending],
            load: self.load(&task.agent, CAPACITY),
        };
        self.deliver(&task.agent, message);
        self.poll();
    }

    pub fn answer(&self, number: u64) -> Option<Answer> {
        self.answers.get(&number).map(|(answer, _)| *answer)
    }

    pub fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(agent, Message::Orders { serial, orders, .. }) => {
                    self.serials.insert(agent.clone(), serial);
                    for order in orders {
                        self.record_start(&agent, &order);
                    }
                }
                Action::Send(_, Message::Halt(attempts)) => {
                    self.placed.retain(|task| !attempts.contains(&task.attempt));
                    self.halted.extend(attempts);
                }
                Action::Answer(number, answer) => {
                    let first = self.answers.insert(number, (answer, self.now));
                    assert_eq!(first, None, "job {number} is answered once");
                }
                Action::Send(..) | Action::Log(_) | Action::Measure(..) => {}
            }
        }
    }

    fn record_start(&mut self, agent: &Process, order: &Order) {
        for start in &order.tasks {
            self.placed.push(Placed {
                agent: agent.clone(),
                attempt: start.of(order.number),
                at: self.now,
            });
        }
    }
}

pub fn agent(number: usize) -> Process {
    Process::new(format!("agent-{number}"), 1)
}

pub fn class() -> Arc<JobClass> {
    Arc::new(JobClass {
        route: "r".into(),
        service: "s".into(),
        priority: 0,
        max_attempts: 2,
        slack_factor: 1.6,
        target_latency: ms(60),
        version: 1,
    })
}

pub fn job(number: u64, tasks: u32, estimate: u64) -> Job {
    Job {
        id: format!("{number:016x}").into(),
        request: format!("r-{number}").into(),
        spec: "what to do".into(),
        stages: vec![Stage {
            task_count: tasks,
            demand: TASK_DEMAND,
            estimate: ms(estimate),
            ..Stage::default()
        }],
    }
}

/// Messages of full or faulty agents.
impl Harness {
    /// Delivers heartbeats of all agents without any free room.
    pub fn report_full(&mut self) {
        let agents: Vec<Process> = self.scheduler.linked_agents().cloned().collect();
        for agent in agents {
            self.heartbeat_of(&agent, Resources::default());
        }
    }

    /// Ends an attempt whose order was refused for lack of room.
    pub fn refuse_full(&mut self, attempt: Attempt) {
        let at = self.placed.iter().position(|task| task.attempt == attempt);
        let task = self.placed.remove(at.unwrap());
        let ending = AttemptResult {
            attempt,
            outcome: Outcome::Full,
            ran: Duration::ZERO,
        };
        self.report_full();
        let message = Message::Ended {
            clock: u64::try_from(self.now.as_millis()).unwrap(),
            results: vec![ending],
            load: self.load(&task.agent, Resources::default()),
        };
        self.deliver(&task.agent, message);
        self.poll();
    }

    /// Advances the time with all agents full.
    pub fn advance_full(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now += ms(10);
            self.report_full();
            self.poll();
        }
    }

    /// Delivers a heartbeat of an agent whose upstream fails this percentage of its tasks.
    pub fn heartbeat_failing(&mut self, agent: &Process, failing: u8) {
        let load = Load {
            failure_percent: failing,
            ..self.load(agent, CAPACITY)
        };
        self.heartbeat_load(agent, load);
    }

    /// Delivers a heartbeat of an agent whose upstream has this pace.
    pub fn heartbeat_paced(&mut self, agent: &Process, pace: u16) {
        let load = Load {
            slowdown_percent: pace,
            ..self.load(agent, CAPACITY)
        };
        self.heartbeat_load(agent, load);
    }

    fn heartbeat_load(&mut self, agent: &Process, load: Load) {
        let clock = u64::try_from(self.now.as_millis()).unwrap();
        let message = Message::AgentHeartbeat { clock, load };
        self.deliver(agent, message);
    }

    /// Delivers the end of an attempt as an agent reports it.
    pub fn report_ending(&mut self, agent: &Process, ending: AttemptResult) {
        let message = Message::Ended {
            clock: u64::try_from(self.now.as_millis()).unwrap(),
            results: vec![ending],
            load: self.load(agent, CAPACITY),
        };
        self.deliver(agent, message);
        self.poll();
    }
}
