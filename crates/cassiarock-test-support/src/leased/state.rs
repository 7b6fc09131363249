//! What an upstream runs, until when, and what has ended.

use super::{Fault, Run, Witness};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// All its room, in thousandths of a core.
pub const CPU: u64 = 16_000;

/// The longest lease.
const LONGEST: u64 = 1_000;

/// How often ends and leases are looked at.
const TICK: Duration = Duration::from_millis(2);

/// What a task takes; the orders do not say.
const TASK: u64 = 1_000;

/// A task by its job, its stage and its index.
pub type Name = (String, (u32, u32));

#[derive(Debug)]
struct Running {
    attempt: u32,
    /// When it ends; none if it stands still.
    ends: Option<Instant>,
    fails: bool,
}

/// An end: its number, the task, the attempt and how it ended.
#[derive(Clone, Debug)]
pub struct Ended {
    pub number: u64,
    pub task: Name,
    pub attempt: u32,
    pub how: &'static str,
}

/// Why a start is turned away.
#[derive(Clone, Copy, Debug)]
pub enum Refusal {
    Fence,
    Old,
    Late,
    Room,
}

#[derive(Debug)]
pub struct State {
    name: String,
    pub fault: Fault,
    /// Whether it has been killed.
    pub is_dead: bool,
    /// When it started, in milliseconds since 1970.
    pub born: u64,
    /// The highest fence that it has seen.
    fence: u64,
    started: Instant,
    until: u64,
    running: BTreeMap<Name, Running>,
    /// The highest attempt that was stopped or has ended.
    passed: BTreeMap<Name, u32>,
    ended: Vec<Ended>,
    numbers: u64,
    pub changed: watch::Sender<u64>,
    witness: Witness,
}

impl State {
    pub fn new(name: &str, witness: Witness) -> Self {
        Self {
            name: name.to_owned(),
            fault: Fault::default(),
            is_dead: false,
            born: since_1970(),
            fence: 0,
            started: Instant::now(),
            until: 0,
            running: BTreeMap::new(),
            passed: BTreeMap::new(),
            ended: Vec::new(),
            numbers: 0,
            changed: watch::Sender::new(0),
            witness,
        }
    }

    /// The id of the upstream.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// All its room now, in thousandths of a core.
    pub fn cpu(&self) -> u64 {
        CPU.saturating_sub(self.fault.shrunk)
    }

    pub fn clock(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Whether an order that carries this fence counts.
    pub fn admit(&mut self, fence: u64) -> bool {
        let counts = fence >= self.fence;
        self.fence = self.fence.max(fence);
        counts
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn renew(&mut self, until: Option<u64>) {
        let longest = self.clock() + LONGEST;
        self.until = self.until.max(until.unwrap_or(0).min(longest));
    }

    pub fn start(
        &mut self,
        task: Name,
        attempt: u32,
        lasts: Duration,
        until: u64,
        fence: u64,
    ) -> Result<(), Refusal> {
        if self.is_dead {
            return Err(Refusal::Late);
        }
        if !self.admit(fence) {
            return Err(Refusal::Fence);
        }
        if until <= self.clock() {
            return Err(Refusal::Late);
        }
        let is_there = self.running.get(&task);
        if is_there.is_some_and(|run| run.attempt == attempt) {
            return Ok(());
        }
        if self
            .passed
            .get(&task)
            .is_some_and(|passed| attempt <= *passed)
        {
            return Err(Refusal::Old);
        }
        let taken = self.running.len() as u64 * TASK;
        if is_there.is_some() || taken + TASK > self.cpu() {
            return Err(Refusal::Room);
        }
        self.renew(Some(until));
        let fault = self.fault;
        let lasts = if fault.fails {
            Duration::ZERO
        } else {
            lasts * fault.slow.max(1)
        };
        self.witness.begin(Run {
            upstream: self.name.clone(),
            job: task.0.clone(),
            task: task.1,
            attempt,
            began: Instant::now(),
            ended: None,
        });
        let run = Running {
            attempt,
            ends: (!fault.hangs).then(|| Instant::now() + lasts),
            fails: fault.fails,
        };
        self.running.insert(task, run);
        Ok(())
    }

    pub fn stop(&mut self, task: &Name, attempt: u32) {
        let passed = self.passed.entry(task.clone()).or_default();
        *passed = (*passed).max(attempt);
        if self
            .running
            .get(task)
            .is_some_and(|run| run.attempt <= attempt)
        {
            self.end(task.clone(), "stopped");
        }
    }

    /// Ends up to `seen` are forgotten; the others are listed.
    pub fn snapshot(&mut self, seen: u64) -> (Vec<(Name, u32)>, Vec<Ended>) {
        self.ended.retain(|ended| ended.number > seen);
        let running = self.running.iter();
        let running = running.map(|(task, run)| (task.clone(), run.attempt));
        (running.collect(), self.ended.clone())
    }

    pub fn has_ended(&self, seen: u64) -> bool {
        self.ended.iter().any(|ended| ended.number > seen)
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if self.clock() > self.until {
            let tasks: Vec<Name> = self.running.keys().cloned().collect();
            for task in tasks {
                self.end(task, "lapsed");
            }
        }
        let over = self.running.iter();
        let over: Vec<(Name, bool)> = over
            .filter(|(_, run)| run.ends.is_some_and(|at| at <= now))
            .map(|(task, run)| (task.clone(), run.fails))
            .collect();
        for (task, fails) in over {
            self.end(task, if fails { "failed" } else { "done" });
        }
    }

    fn end(&mut self, task: Name, how: &'static str) {
        let Some(run) = self.running.remove(&task) else {
            return;
        };
        let done = how == "done";
        self.witness
            .end(&self.name, &task.0, task.1, run.attempt, done);
        let passed = self.passed.entry(task.clone()).or_default();
        *passed = (*passed).max(run.attempt);
        self.numbers += 1;
        self.ended.push(Ended {
            number: self.numbers,
            task,
            attempt: run.attempt,
            how,
        });
        self.changed.send_replace(self.numbers);
    }
}

fn since_1970() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

pub async fn tick(state: Arc<Mutex<State>>) {
    loop {
        tokio::time::sleep(TICK).await;
        state.lock().unwrap_or_else(PoisonError::into_inner).tick();
    }
}
