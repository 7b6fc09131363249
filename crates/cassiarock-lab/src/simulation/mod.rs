//! One run: entries and agents as they are, everything around them modelled.

mod agents;
mod callers;
mod emptying;
mod entries;
mod tally;

use crate::caller::{Caller, FIRST, callers};
use crate::event::{Agenda, Event, Frame};
use crate::invariants::InvariantChecker;
use crate::result::SeedResult;
use crate::scenario::{Disturbance, DisturbanceKind, Scenario};
use crate::upstream::Upstream;
use agents::Agent;
use cassiarock_id::{Name, Process};
use cassiarock_transient::scheduler::Mechanisms;
use cassiarock_transient::{Message, evacuation};
use entries::Entry;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use std::collections::HashMap;
use std::time::Duration;
use tally::Tally;

/// One way between processes of one data centre.
const NEAR: Duration = Duration::from_micros(100);

/// How long after the last caller everything has to be over.
const END: Duration = Duration::from_secs(15);

/// Who a process is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
    Entry(usize),
    Agent(usize),
}

/// A run in progress.
struct Simulation<'a> {
    scenario: &'a Scenario,
    mechanisms: Mechanisms,
    seed: u64,
    now: Duration,
    agenda: Agenda,
    places: HashMap<Name, Place>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    callers: Vec<Caller>,
    /// Whose a submission is: the caller, and which one of theirs.
    submissions: HashMap<u64, (usize, u32)>,
    /// What operators order of data centres, as all processes know it.
    evacuations: evacuation::State,
    invariants: InvariantChecker,
    tally: Tally,
    random: ChaCha12Rng,
}

/// Plays one seed.
pub(crate) fn run_seed(scenario: &Scenario, mechanisms: Mechanisms, seed: u64) -> SeedResult {
    let mut random = ChaCha12Rng::seed_from_u64(seed);
    let callers = callers(scenario, &mut random);
    let bound = crate::bound::bound(scenario, &callers);
    let mut simulation = Simulation {
        scenario,
        mechanisms,
        seed,
        now: Duration::ZERO,
        agenda: Agenda::default(),
        places: HashMap::new(),
        entries: Vec::new(),
        agents: Vec::new(),
        callers,
        submissions: HashMap::new(),
        evacuations: evacuation::State::default(),
        invariants: InvariantChecker::default(),
        tally: Tally::default(),
        random,
    };
    simulation.set_up();
    simulation.run();
    simulation.close();
    let Simulation {
        tally,
        callers,
        invariants,
        ..
    } = simulation;
    SeedResult {
        seed,
        in_time_bound: bound,
        violations: invariants.violations,
        ..tally.result(scenario, &callers)
    }
}

impl Simulation<'_> {
    fn set_up(&mut self) {
        for number in 0..self.scenario.entries.len() {
            self.add_entry(number);
        }
        let groups = self.scenario.upstreams.iter();
        let groups: Vec<_> = groups
            .flat_map(|group| std::iter::repeat_n(group, group.count))
            .collect();
        for (number, group) in groups.into_iter().enumerate() {
            self.add_agent(number, group);
        }
        for number in 0..self.agents.len() {
            self.start_agent(number);
        }
        for (number, caller) in self.callers.iter().enumerate() {
            self.agenda.add(caller.at, Event::Come(number, 1));
        }
        for (number, disturbance) in self.scenario.disturbances.iter().enumerate() {
            self.agenda
                .add(FIRST + disturbance.start, Event::Begin(number));
            self.agenda.add(
                FIRST + disturbance.start + disturbance.duration,
                Event::Over(number),
            );
        }
    }

    fn run(&mut self) {
        let end = FIRST + self.scenario.length + END;
        while let Some((at, event)) = self.agenda.next() {
            if at > end {
                return;
            }
            self.now = at;
            self.take(event);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Come(caller, nth) => self.come(caller, nth),
            Event::Leave(caller, nth) => self.leave(caller, nth),
            Event::Frame(frame) => self.deliver(*frame),
            Event::WakeEntry(entry, life) => self.wake_entry(entry, life),
            Event::WakeAgent(agent, life) => self.wake_agent(agent, life),
            Event::Poll(agent, life, is_regular) => self.poll(agent, life, is_regular),
            Event::Start(agent, life, task) => self.start_task(agent, life, task),
            Event::Stop(agent, life, task) => self.stop_task(agent, life, &task),
            Event::End(agent, life, run) => self.end_run(agent, life, run),
            Event::Crash(agent, life, run) => self.crash(agent, life, run),
            Event::Return(agent, life) => self.return_upstream(agent, life),
            Event::Begin(number) => self.begin(number),
            Event::Over(number) => self.over(number),
        }
    }

    /// Sends a message; what is sent to a life that has ended by then is lost.
    fn send(&mut self, from: Process, to: Process, message: Message) {
        let is_beat = matches!(
            message,
            Message::EntryHeartbeat { .. } | Message::AgentHeartbeat { .. }
        );
        if !is_beat {
            self.tally.frames += 1;
        }
        let near = self.data_centre(&from) == self.data_centre(&to);
        let delay = if near {
            NEAR
        } else {
            self.scenario.cross_data_centre_latency
        };
        let frame = Frame { from, to, message };
        self.agenda
            .add(self.now + delay, Event::Frame(Box::new(frame)));
    }

    fn data_centre(&self, process: &Process) -> Option<&Name> {
        match self.places.get(&process.name)? {
            Place::Entry(number) => Some(&self.scenario.entries[*number].data_centre),
            Place::Agent(number) => Some(&self.agents[*number].data_centre),
        }
    }

    fn deliver(&mut self, frame: Frame) {
        match self.places.get(&frame.to.name) {
            Some(Place::Entry(number)) => self.entry_receives(*number, frame),
            Some(Place::Agent(number)) => self.agent_receives(*number, frame),
            None => {}
        }
    }

    fn begin(&mut self, number: usize) {
        let disturbance = self.scenario.disturbances[number].clone();
        match disturbance.kind {
            DisturbanceKind::Lost => self.lose_agents(&disturbance),
            DisturbanceKind::AllLost => {
                self.lose_agents(&disturbance);
                for entry in 0..self.entries.len() {
                    self.lose_entry(entry);
                }
            }
            DisturbanceKind::Emptied => self.evacuate(),
            DisturbanceKind::Burst
            | DisturbanceKind::Slow
            | DisturbanceKind::Failing
            | DisturbanceKind::Hanging
            | DisturbanceKind::Leaving => {}
        }
    }

    fn over(&mut self, number: usize) {
        let disturbance = self.scenario.disturbances[number].clone();
        if disturbance.kind == DisturbanceKind::Emptied {
            self.evacuate();
        }
        if !matches!(
            disturbance.kind,
            DisturbanceKind::Lost | DisturbanceKind::AllLost
        ) {
            return;
        }
        if disturbance.kind == DisturbanceKind::AllLost {
            for entry in 0..self.entries.len() {
                self.start_entry(entry);
            }
        }
        for agent in self.struck(&disturbance) {
            self.start_agent(agent);
        }
    }

    fn lose_agents(&mut self, disturbance: &Disturbance) {
        for agent in self.struck(disturbance) {
            self.lose_agent(agent);
        }
    }

    fn struck(&self, disturbance: &Disturbance) -> Vec<usize> {
        let all = disturbance.kind == DisturbanceKind::AllLost;
        let agents = 0..self.agents.len();
        agents
            .filter(|agent| all || disturbance.affects_upstream(*agent))
            .collect()
    }

    /// Nothing is left over once all callers are gone.
    fn close(&mut self) {
        for entry in &self.entries {
            let jobs = entry.scheduler.job_count();
            if jobs > 0 {
                let fault = format!("{jobs} jobs are left at {}", entry.process.name);
                self.invariants.report_violation(fault);
            }
        }
        for agent in &self.agents {
            let (held, running) = (agent.host.attempt_count(), agent.upstream.running());
            if held + running > 0 {
                let name = &agent.process.name;
                let fault = format!("{name} has {held} tasks left, its upstream {running}");
                self.invariants.report_violation(fault);
            }
        }
    }
}

fn room(cores: f64, memory_mib: u64) -> cassiarock_transient::Resources {
    cassiarock_transient::Resources::new((cores * 1000.0) as u64, memory_mib, 0)
}

fn new_upstream(cores: f64, memory_mib: u64) -> Upstream {
    Upstream::new(room(cores, memory_mib))
}
