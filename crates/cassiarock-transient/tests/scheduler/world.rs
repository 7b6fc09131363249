//! An entry with agents that do as they are told.

use cassiarock_id::Process;
use cassiarock_transient::message::{Attempt, AttemptResult, Load, Order, Outcome, Upstream};
use cassiarock_transient::scheduler::{Action, Answer};
use cassiarock_transient::{Job, JobClass, Message, Resources, Scheduler, Stage};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The room of each upstream: ten tasks.
pub const ROOM: Resources = Resources::new(10_000, 1_000, 0);

/// Where agents are that no test puts elsewhere.
pub const DATA_CENTRE: &str = "dc-1";

/// What each task takes.
pub const TASK: Resources = Resources::new(1_000, 64, 0);

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A task at an agent.
#[derive(Clone, Debug)]
pub struct Placed {
    pub agent: Process,
    pub attempt: Attempt,
    pub at: Duration,
}

/// An entry and what it has said so far.
pub struct World {
    pub scheduler: Scheduler,
    pub now: Duration,
    pub placed: Vec<Placed>,
    pub halted: Vec<Attempt>,
    pub answers: BTreeMap<u64, (Answer, Duration)>,
    seen: BTreeMap<Process, u64>,
}

impl World {
    /// An entry with so many agents, all linked and empty.
    pub fn new(agents: usize) -> Self {
        let mut world = Self {
            now: ms(1_000),
            ..Self::starting()
        };
        for number in 0..agents {
            world.add(agent(number));
        }
        world.beat();
        world.poll();
        world
    }

    /// An entry that has just started and knows no agent.
    pub fn starting() -> Self {
        Self {
            scheduler: Scheduler::new(),
            now: ms(50),
            placed: Vec::new(),
            halted: Vec::new(),
            answers: BTreeMap::new(),
            seen: BTreeMap::new(),
        }
    }

    /// Links an agent with an empty upstream.
    pub fn add(&mut self, agent: Process) {
        self.scheduler.link(&agent, &DATA_CENTRE.into(), self.now);
        let upstream = Upstream {
            id: format!("u-{}", agent.name).into(),
            started_at: None,
            service: "s".into(),
            capacity: ROOM,
            labels: vec![],
            is_leaving: false,
        };
        self.tell(&agent, Message::Upstream(Some(upstream)));
    }

    pub fn tell(&mut self, agent: &Process, message: Message) {
        let actions = self.scheduler.handle_message(agent, message, self.now);
        self.take(actions);
    }

    /// Heartbeats of all agents.
    pub fn beat(&mut self) {
        let agents: Vec<Process> = self.scheduler.linked_agents().cloned().collect();
        for agent in agents {
            self.beat_of(&agent, ROOM);
        }
    }

    /// A heartbeat of one agent, with so much room besides what this entry has placed.
    pub fn beat_of(&mut self, agent: &Process, room: Resources) {
        let load = self.load(agent, room);
        let message = Message::AgentHeartbeat {
            clock: u64::try_from(self.now.as_millis()).unwrap(),
            load,
        };
        self.tell(agent, message);
    }

    fn load(&self, agent: &Process, room: Resources) -> Load {
        let here = self.placed.iter().filter(|task| task.agent == *agent);
        Load {
            last_serial: self.seen.get(agent).copied().unwrap_or_default(),
            free: here.fold(room, |free, _| free.saturating_sub(&TASK)),
            failure_percent: 0,
            slowdown_percent: 100,
            entries: 1,
            is_offered: false,
        }
    }

    pub fn submit(&mut self, number: u64, tasks: u32, estimate: u64, patience: u64) {
        self.submit_job(number, job(number, tasks, estimate), patience);
    }

    /// Submits a job of a queue with this priority, of tasks of 400 ms.
    pub fn submit_of(&mut self, number: u64, tasks: u32, priority: u32) {
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
        self.take(actions);
        self.poll();
    }

    pub fn submit_job(&mut self, number: u64, job: Job, patience: u64) {
        let actions = self
            .scheduler
            .submit(number, job, class(), ms(patience), self.now);
        self.take(actions);
        self.poll();
    }

    pub fn poll(&mut self) {
        let actions = self.scheduler.poll(self.now);
        self.take(actions);
    }

    /// Lets time pass, with heartbeats.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now += ms(10);
            self.beat();
            self.poll();
        }
    }

    /// An attempt ends.
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
            load: self.load(&task.agent, ROOM),
        };
        self.tell(&task.agent, message);
        self.poll();
    }

    pub fn answer(&self, number: u64) -> Option<Answer> {
        self.answers.get(&number).map(|(answer, _)| *answer)
    }

    pub fn take(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(agent, Message::Orders { serial, orders, .. }) => {
                    self.seen.insert(agent.clone(), serial);
                    for order in orders {
                        self.place(&agent, &order);
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

    fn place(&mut self, agent: &Process, order: &Order) {
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
            demand: TASK,
            estimate: ms(estimate),
            ..Stage::default()
        }],
    }
}

/// What a full or faulty agent says.
impl World {
    /// All agents say that they have no room.
    pub fn tell_full(&mut self) {
        let agents: Vec<Process> = self.scheduler.linked_agents().cloned().collect();
        for agent in agents {
            self.beat_of(&agent, Resources::default());
        }
    }

    /// An order is turned away for want of room.
    pub fn end_full(&mut self, attempt: Attempt) {
        let at = self.placed.iter().position(|task| task.attempt == attempt);
        let task = self.placed.remove(at.unwrap());
        let ending = AttemptResult {
            attempt,
            outcome: Outcome::Full,
            ran: Duration::ZERO,
        };
        self.tell_full();
        let message = Message::Ended {
            clock: u64::try_from(self.now.as_millis()).unwrap(),
            results: vec![ending],
            load: self.load(&task.agent, Resources::default()),
        };
        self.tell(&task.agent, message);
        self.poll();
    }

    /// Lets time pass with all agents full.
    pub fn pass_full(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now += ms(10);
            self.tell_full();
            self.poll();
        }
    }

    /// A heartbeat of an agent whose upstream fails this share of its tasks.
    pub fn beat_with(&mut self, agent: &Process, failing: u8) {
        let load = Load {
            failure_percent: failing,
            ..self.load(agent, ROOM)
        };
        self.beat_load(agent, load);
    }

    /// A heartbeat of an agent whose upstream works at this pace.
    pub fn beat_paced(&mut self, agent: &Process, pace: u16) {
        let load = Load {
            slowdown_percent: pace,
            ..self.load(agent, ROOM)
        };
        self.beat_load(agent, load);
    }

    fn beat_load(&mut self, agent: &Process, load: Load) {
        let clock = u64::try_from(self.now.as_millis()).unwrap();
        let message = Message::AgentHeartbeat { clock, load };
        self.tell(agent, message);
    }

    /// An agent tells of an end of its own.
    pub fn tell_ended(&mut self, agent: &Process, ending: AttemptResult) {
        let message = Message::Ended {
            clock: u64::try_from(self.now.as_millis()).unwrap(),
            results: vec![ending],
            load: self.load(agent, ROOM),
        };
        self.tell(agent, message);
        self.poll();
    }
}
