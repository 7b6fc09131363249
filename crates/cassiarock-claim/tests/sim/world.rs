//! The simulated system: all processes, the network and the log.

use super::agent::Agent;
use super::entry::Entry;
use super::oracle::Oracle;
use super::{LEASE, MARGIN, MAX_SKEW_MS, Message, Step, Version, clock};
use crate::claim::owner::Event;
use crate::claim::view::View;
use cassiarock_id::{Job, Process};
use std::collections::BTreeSet;

/// The hash of a job's tasks.
const DIGEST: u64 = 9;

/// Jobs per run; few, so that steps often concern the same job.
const MAX_JOBS: usize = 3;

#[derive(Debug)]
pub struct World {
    pub(super) time: u64,
    pub(super) log: Vec<Version>,
    pub(super) agents: Vec<Agent>,
    pub(super) entries: Vec<Entry>,
    pub(super) network: Vec<Message>,
    /// Pairs of an entry and an agent that can't reach each other.
    pub(super) cut_links: BTreeSet<(Process, Process)>,
    jobs: Vec<Job>,
    submissions: u32,
    /// The counter from which the names of joining agents are made.
    pub(super) join_counter: u64,
    /// Whether an agent has ended without announcing its departure.
    pub(super) lost_agents: bool,
    pub(super) memory_bytes: usize,
    pub oracle: Oracle,
}

impl World {
    /// A system of `agents` agents, with `memory_bytes` bytes of memory each, and three
    /// entries that have settled the first view.
    pub fn new(agents: usize, memory_bytes: usize) -> Self {
        let agent_name = |n| Process::new(format!("agent-{n}"), 1);
        let first = Version {
            view: View::new(10, (0..agents).map(agent_name)),
            retired: None,
        };
        let log = vec![first];
        let time = 1_000_000;
        let skew = |n: usize| (n as u64 * 37) % (2 * MAX_SKEW_MS);
        let agent = |n| Agent::new(agent_name(n), 0, &log, time, skew(n), memory_bytes);
        let entry = |n: usize| Entry::new(Process::new(format!("entry-{n}"), 1), skew(n + 1));
        let mut world = Self {
            time,
            agents: (0..agents).map(agent).collect(),
            entries: (0_usize..3).map(entry).collect(),
            log,
            network: Vec::new(),
            cut_links: BTreeSet::new(),
            jobs: Vec::new(),
            submissions: 0,
            join_counter: 2,
            lost_agents: false,
            memory_bytes,
            oracle: Oracle::default(),
        };
        world.time += u64::try_from(LEASE.as_millis()).unwrap_or(0);
        for at in 0..3 {
            world.read_entry(at);
            world.heartbeat(at);
        }
        world.time += u64::try_from(MARGIN.as_millis()).unwrap_or(0) + 2 * MAX_SKEW_MS;
        world
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Issue => self.issue(),
            Step::Submit(e, j) => self.submit(e, j, DIGEST, true),
            Step::SubmitOtherTasks(e, j) => self.submit(e, j, DIGEST + 1, true),
            Step::Refuse(e, j) => self.submit(e, j, DIGEST, false),
            Step::Place(e, choice) => self.place(e, choice),
            Step::Deliver(n) => self.deliver(n),
            Step::Flush(n) => self.flush(n),
            Step::Lose(n) => drop(take_message(&mut self.network, n)),
            Step::Duplicate(n) => self.duplicate(n),
            Step::Begin(a, n) => self.begin(a, n),
            Step::End(a, n) => self.end(a, n),
            Step::Revert(a, n) => self.revert(a, n),
            Step::Tick(millis) => self.time += u64::from(millis),
            Step::Read(n) => self.read(n),
            Step::Heartbeat(e) => self.heartbeat(usize::from(e) % 3),
            Step::Settle(e, lagging) => self.settle(usize::from(e) % 3, lagging),
            Step::Ping(e, a) => self.ping(e, a),
            Step::ToggleLink(e, a) => self.toggle_link(e, a),
            Step::CrashEntry(e) => self.crash_entry(e),
            Step::CrashAgent(a) => self.crash_agent(a),
            Step::Restart(a) => self.restart(a),
            Step::Join => self.join(),
            Step::Remove(a) => self.remove(a),
            Step::Leave(a) => self.leave(a),
            Step::OwnerLost(e, j) => self.step_owner(e, j, Event::OwnerLost),
            Step::KeeperLost(e, a) => self.keeper_lost(e, a),
            Step::Cancel(e, j) => self.step_owner(e, j, Event::Cancelled),
            Step::Expire(e, j) => self.step_owner(e, j, Event::Expired),
            Step::Retry(e) => self.step_all_owners(e, &Event::Retry),
            Step::Evict(a) => self.evict(a),
            Step::Pause(n) => self.pause(n),
            Step::Forget(e, j) => self.forget(e, j),
            Step::Drift(n, skew) => self.drift(n, skew),
        }
    }

    fn issue(&mut self) {
        if self.jobs.len() < MAX_JOBS {
            let bits = self.jobs.len() as u64;
            let issued = clock(self.time, MAX_SKEW_MS);
            self.jobs.push(Job::with_bits(issued, bits));
        }
    }

    fn submit(&mut self, e: u8, j: u8, digest: u64, admitted: bool) {
        let Some(job) = pick(&self.jobs, j).copied() else {
            return;
        };
        self.submissions += 1;
        let submission = self.submissions;
        let time = self.time;
        if let Some(entry) = active_entry(&mut self.entries, e) {
            let sent = entry.submit(job, digest, submission, admitted, time, &mut self.oracle);
            self.network.extend(sent);
        }
    }

    pub(super) fn place(&mut self, e: u8, choice: u8) {
        let agents: Vec<_> = self.agents.iter().map(|agent| agent.me.clone()).collect();
        let time = self.time;
        if agents.is_empty() {
            return;
        }
        if let Some(entry) = active_entry(&mut self.entries, e) {
            let sent = entry.place(&agents, usize::from(choice), time);
            self.network.extend(sent);
        }
    }

    pub(super) fn begin(&mut self, a: u8, n: u8) {
        let Some(agent) = active_agent(&mut self.agents, a) else {
            return;
        };
        if agent.queue.is_empty() {
            return;
        }
        let at = usize::from(n) % agent.queue.len();
        if let Some((job, task, _)) = agent.begin(at) {
            self.oracle.begin(job, task, &agent.me);
        }
    }

    pub(super) fn end(&mut self, a: u8, n: u8) {
        let Some(agent) = active_agent(&mut self.agents, a) else {
            return;
        };
        if agent.running.is_empty() {
            return;
        }
        let at = usize::from(n) % agent.running.len();
        let sent = agent.end(at, Oracle::outcome);
        self.network.extend(sent);
    }

    fn revert(&mut self, a: u8, n: u8) {
        let Some(agent) = active_agent(&mut self.agents, a) else {
            return;
        };
        if agent.running.is_empty() {
            return;
        }
        let at = usize::from(n) % agent.running.len();
        let (job, task, sent) = agent.revert(at);
        self.oracle.revert(job, task);
        self.network.extend(sent);
    }

    pub(super) fn read(&mut self, n: u8) {
        let at = usize::from(n) % (self.agents.len() + 3);
        if at < 3 {
            return self.read_entry(at);
        }
        let agent = &mut self.agents[at - 3];
        if !agent.paused {
            agent.read(&self.log, self.time);
        }
    }

    pub(super) fn read_entry(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        if !entry.paused {
            let sent = entry.read(&self.log, self.time, &mut self.oracle);
            self.network.extend(sent);
        }
    }

    pub(super) fn step_all_owners(&mut self, e: u8, event: &Event) {
        let time = self.time;
        if let Some(entry) = active_entry(&mut self.entries, e) {
            let sent = entry.step_all_owners(event, time, &mut self.oracle);
            self.network.extend(sent);
        }
    }

    fn step_owner(&mut self, e: u8, j: u8, event: Event) {
        let Some(job) = pick(&self.jobs, j).copied() else {
            return;
        };
        let time = self.time;
        if let Some(entry) = active_entry(&mut self.entries, e) {
            let sent = entry.step_owner(job, event, time, &mut self.oracle);
            self.network.extend(sent);
        }
    }

    fn evict(&mut self, a: u8) {
        let time = self.time;
        if let Some(agent) = active_agent(&mut self.agents, a) {
            let now = clock(time, agent.skew);
            agent.ledger.evict(now);
            agent.keeper.evict(now);
        }
        for entry in &mut self.entries {
            entry.views.evict(clock(time, entry.skew));
        }
    }

    fn pause(&mut self, n: u8) {
        let at = usize::from(n) % (self.agents.len() + 3);
        if at < 3 {
            self.entries[at].paused ^= true;
        } else {
            self.agents[at - 3].paused ^= true;
        }
    }

    fn forget(&mut self, e: u8, j: u8) {
        let job = pick(&self.jobs, j).copied();
        let entry = active_entry(&mut self.entries, e);
        if let Some((job, entry)) = job.zip(entry) {
            entry.forget(job);
        }
    }

    fn drift(&mut self, n: u8, skew: u8) {
        let at = usize::from(n) % (self.agents.len() + 3);
        let skew = u64::from(skew) % (2 * MAX_SKEW_MS);
        if at < 3 {
            self.entries[at].skew = skew;
        } else {
            self.agents[at - 3].skew = skew;
        }
    }
}

pub(super) fn pick<T>(list: &[T], n: impl Into<usize>) -> Option<&T> {
    let len = list.len().max(1);
    list.get(n.into() % len)
}

pub(super) fn take_message(network: &mut Vec<Message>, n: u16) -> Option<Message> {
    let len = network.len().max(1);
    let at = usize::from(n) % len;
    (at < network.len()).then(|| network.remove(at))
}

pub(super) fn active_entry(entries: &mut [Entry], e: u8) -> Option<&mut Entry> {
    let at = usize::from(e) % entries.len();
    entries.get_mut(at).filter(|entry| !entry.paused)
}

pub(super) fn active_agent(agents: &mut [Agent], a: u8) -> Option<&mut Agent> {
    let len = agents.len().max(1);
    let agent = agents.get_mut(usize::from(a) % len);
    agent.filter(|agent| !agent.paused)
}
