//! One simulation run: real entries and agents, with modelled links, upstreams and callers.

mod agents;
mod callers;
mod emptying;
mod entries;
mod replacing;
mod tally;

use crate::caller::{Caller, FIRST_ARRIVAL, callers};
use crate::event::{Event, EventQueue, Frame};
use crate::invariants::InvariantChecker;
use crate::result::SeedResult;
use crate::scenario::{Disturbance, DisturbanceKind, Scenario};
use crate::upstream::Upstream;
use agents::Agent;
use cassiarock_id::{Name, Process};
use cassiarock_transient::scheduler::Mechanisms;
use cassiarock_transient::{Message, evacuation};
use entries::Entry;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use std::collections::HashMap;
use std::time::Duration;
use tally::Tally;

/// One-way latency between processes of one data centre.
const LOCAL_LATENCY: Duration = Duration::from_micros(100);

/// Time after the last arrival by which all work has to be finished.
const DRAIN_TIME: Duration = Duration::from_secs(15);

/// A process of the simulation, by its index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProcessKind {
    Entry(usize),
    Agent(usize),
}

/// State of a run.
struct Simulation<'a> {
    scenario: &'a Scenario,
    mechanisms: Mechanisms,
    seed: u64,
    now: Duration,
    event_queue: EventQueue,
    processes: HashMap<Name, ProcessKind>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    callers: Vec<Caller>,
    /// Caller and attempt of each submission.
    submissions: HashMap<u64, (usize, u32)>,
    /// The operators' evacuations, which all processes know at once.
    evacuations: evacuation::State,
    /// Links that open now take up to this time.
    link_spread: Duration,
    invariants: InvariantChecker,
    tally: Tally,
    random: ChaCha12Rng,
}

/// Simulates the scenario with one seed.
pub(crate) fn run_seed(scenario: &Scenario, mechanisms: Mechanisms, seed: u64) -> SeedResult {
    let mut random = ChaCha12Rng::seed_from_u64(seed);
    let callers = callers(scenario, &mut random);
    let in_time_bound = crate::bound::in_time_bound(scenario, &callers);
    let mut simulation = Simulation {
        scenario,
        mechanisms,
        seed,
        now: Duration::ZERO,
        event_queue: EventQueue::default(),
        processes: HashMap::new(),
        entries: Vec::new(),
        agents: Vec::new(),
        callers,
        submissions: HashMap::new(),
        evacuations: evacuation::State::default(),
        link_spread: Duration::ZERO,
        invariants: InvariantChecker::default(),
        tally: Tally::default(),
        random,
    };
    simulation.set_up();
    simulation.run();
    simulation.check_leftovers();
    let Simulation {
        tally,
        callers,
        invariants,
        ..
    } = simulation;
    SeedResult {
        seed,
        in_time_bound,
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
            self.event_queue
                .add(caller.at, Event::CallerArrives(number, 1));
        }
        for (number, disturbance) in self.scenario.disturbances.iter().enumerate() {
            self.event_queue.add(
                FIRST_ARRIVAL + disturbance.start,
                Event::DisturbanceBegins(number),
            );
            self.event_queue.add(
                FIRST_ARRIVAL + disturbance.start + disturbance.duration,
                Event::DisturbanceEnds(number),
            );
        }
    }

    fn run(&mut self) {
        let end = FIRST_ARRIVAL + self.scenario.length + DRAIN_TIME;
        while let Some((at, event)) = self.event_queue.next() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::CallerArrives(caller, attempt) => self.handle_arrival(caller, attempt),
            Event::CallerLeaves(caller, attempt) => self.handle_departure(caller, attempt),
            Event::Frame(frame) => self.deliver(*frame),
            Event::PollEntry(entry, incarnation) => self.handle_entry_timer(entry, incarnation),
            Event::PollAgent(agent, incarnation) => self.handle_agent_timer(agent, incarnation),
            Event::PollUpstream(agent, incarnation, is_regular) => {
                self.poll_upstream(agent, incarnation, is_regular)
            }
            Event::StartTask(agent, incarnation, task) => self.start_task(agent, incarnation, task),
            Event::StopTask(agent, incarnation, task) => self.stop_task(agent, incarnation, &task),
            Event::RunEnds(agent, incarnation, run) => self.end_run(agent, incarnation, run),
            Event::UpstreamCrashes(agent, incarnation, run) => {
                self.crash_upstream(agent, incarnation, run)
            }
            Event::UpstreamRestarts(agent, incarnation) => {
                self.restart_upstream(agent, incarnation)
            }
            Event::EntryStarts(entry) => self.start_entry(entry),
            Event::AgentStarts(agent) => self.start_agent(agent),
            Event::LinkOpens(agent, entry) => self.open_link(agent, entry),
            Event::UpstreamLeaves(agent, incarnation) => self.end_upstream(agent, incarnation),
            Event::DisturbanceBegins(number) => self.begin_disturbance(number),
            Event::DisturbanceEnds(number) => self.end_disturbance(number),
        }
    }

    /// Sends a message. It is lost if the receiving incarnation has ended when it arrives.
    fn send(&mut self, from: Process, to: Process, message: Message) {
        self.tally.record_message(&message);
        let is_local = self.data_centre(&from) == self.data_centre(&to);
        let delay = if is_local {
            LOCAL_LATENCY
        } else {
            self.scenario.cross_data_centre_latency
        };
        let frame = Frame { from, to, message };
        self.event_queue
            .add(self.now + delay, Event::Frame(Box::new(frame)));
    }

    fn data_centre(&self, process: &Process) -> Option<&Name> {
        match self.processes.get(&process.name)? {
            ProcessKind::Entry(number) => Some(&self.scenario.entries[*number].data_centre),
            ProcessKind::Agent(number) => Some(&self.agents[*number].data_centre),
        }
    }

    fn deliver(&mut self, frame: Frame) {
        match self.processes.get(&frame.to.name) {
            Some(ProcessKind::Entry(number)) => self.deliver_to_entry(*number, frame),
            Some(ProcessKind::Agent(number)) => self.deliver_to_agent(*number, frame),
            None => {}
        }
    }

    fn begin_disturbance(&mut self, number: usize) {
        let disturbance = self.scenario.disturbances[number].clone();
        match disturbance.kind {
            DisturbanceKind::Lost => self.power_off_agents(&disturbance),
            DisturbanceKind::AllLost => {
                self.power_off_agents(&disturbance);
                for entry in 0..self.entries.len() {
                    self.power_off_entry(entry);
                }
            }
            DisturbanceKind::Emptied => self.update_evacuations(),
            DisturbanceKind::Replaced => self.announce_ends(&disturbance),
            DisturbanceKind::Burst
            | DisturbanceKind::Slow
            | DisturbanceKind::Failing
            | DisturbanceKind::Hanging
            | DisturbanceKind::Leaving => {}
        }
    }

    fn end_disturbance(&mut self, number: usize) {
        let disturbance = self.scenario.disturbances[number].clone();
        if disturbance.kind == DisturbanceKind::Emptied {
            self.update_evacuations();
        }
        if disturbance.kind == DisturbanceKind::Replaced {
            self.replace_upstreams(&disturbance);
        }
        if !matches!(
            disturbance.kind,
            DisturbanceKind::Lost | DisturbanceKind::AllLost
        ) {
            return;
        }
        self.link_spread = disturbance.link_spread;
        if disturbance.kind == DisturbanceKind::AllLost {
            for entry in 0..self.entries.len() {
                match self.random_delay(disturbance.start_spread) {
                    Some(at) => self.event_queue.add(at, Event::EntryStarts(entry)),
                    None => self.start_entry(entry),
                }
            }
        }
        for agent in self.affected_agents(&disturbance) {
            match self.random_delay(disturbance.start_spread) {
                Some(at) => self.event_queue.add(at, Event::AgentStarts(agent)),
                None => self.start_agent(agent),
            }
        }
    }

    /// A random time within `spread` from now; `None` without a spread, which draws nothing.
    fn random_delay(&mut self, spread: Duration) -> Option<Duration> {
        (!spread.is_zero()).then(|| self.now + spread.mul_f64(self.random.random()))
    }

    fn power_off_agents(&mut self, disturbance: &Disturbance) {
        for agent in self.affected_agents(disturbance) {
            self.power_off_agent(agent);
        }
    }

    fn affected_agents(&self, disturbance: &Disturbance) -> Vec<usize> {
        let all = disturbance.kind == DisturbanceKind::AllLost;
        let agents = 0..self.agents.len();
        agents
            .filter(|agent| all || disturbance.affects_upstream(*agent))
            .collect()
    }

    /// Checks that no job, attempt or run is left once all callers are gone.
    fn check_leftovers(&mut self) {
        for entry in &self.entries {
            let jobs = entry.scheduler.job_count();
            if jobs > 0 {
                let fault = format!("{jobs} jobs are left at {}", entry.process.name);
                self.invariants.report_violation(fault);
            }
        }
        for agent in &self.agents {
            let (held, running) = (agent.host.attempt_count(), agent.upstream.run_count());
            if held + running > 0 {
                let name = &agent.process.name;
                let fault = format!("{name} has {held} tasks left, its upstream {running}");
                self.invariants.report_violation(fault);
            }
        }
    }
}

fn resources(cores: f64, memory_mib: u64) -> cassiarock_transient::Resources {
    cassiarock_transient::Resources::new((cores * 1000.0) as u64, memory_mib, 0)
}

fn new_upstream(cores: f64, memory_mib: u64) -> Upstream {
    Upstream::new(resources(cores, memory_mib))
}
