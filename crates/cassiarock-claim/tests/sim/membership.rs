//! Crashes, restarts, joins, departures and removals of processes.

use super::agent::Agent;
use super::entry::Entry;
use super::world::{World, active_agent, pick};
use super::{MAX_SKEW_MS, Version};
use crate::claim::owner::Event;
use crate::claim::view::View;
use cassiarock_id::Process;

impl World {
    pub(super) fn crash_entry(&mut self, e: u8) {
        let at = usize::from(e) % 3;
        let old = &self.entries[at].me;
        let me = Process::new(old.name.clone(), old.incarnation + 1);
        self.entries[at] = Entry::new(me, self.entries[at].skew);
        for _ in 0..self.log.len() {
            self.read_entry(at);
        }
    }

    pub(super) fn crash_agent(&mut self, a: u8) {
        if !self.agents.is_empty() {
            let at = usize::from(a) % self.agents.len();
            let gone = self.agents.remove(at).me;
            self.lost_agents = true;
            for e in 0..3 {
                self.step_all_owners(e, &Event::AgentUnreachable(gone.clone()));
            }
        }
    }

    /// Crashes an agent and starts it again under the same name.
    pub(super) fn restart(&mut self, a: u8) {
        if let Some(old) = pick(&self.agents, a).map(|agent| agent.me.clone()) {
            self.crash_agent(a);
            let me = Process::new(old.name.clone(), old.incarnation + 1);
            let view = self.view().without(&old);
            self.add_agent(me, &view);
        }
    }

    pub(super) fn join(&mut self) {
        if self.agents.len() < 6 {
            self.join_counter += 1;
            let me = Process::new(format!("agent-{}", 10 + self.join_counter), 1);
            let view = self.view();
            self.add_agent(me, &view);
        }
    }

    pub(super) fn add_agent(&mut self, me: Process, view: &View) {
        let members = view.members.iter().cloned().chain([me.clone()]);
        self.append(members.collect(), None);
        let version_index = self.log.len() - 1;
        let agent = Agent::new(
            me,
            version_index,
            &self.log,
            self.time,
            self.time % (2 * MAX_SKEW_MS),
            self.memory_bytes,
        );
        self.agents.push(agent);
    }

    /// Removes an agent from the membership without its involvement.
    pub(super) fn remove(&mut self, a: u8) {
        let view = self.view();
        // At least one agent that is not leaving must remain, or nothing could run.
        let is_staying = |member: &Process| {
            let agent = self.agents.iter().find(|agent| agent.me == *member);
            agent.is_some_and(|agent| !agent.leaving)
        };
        if view.members.iter().filter(|m| is_staying(m)).count() > 1 {
            let member = &view.members[usize::from(a) % view.members.len()];
            let rest = view.without(member).members.to_vec();
            self.append(rest, None);
        }
    }

    /// Advances an agent's planned departure by one stage.
    pub(super) fn leave(&mut self, a: u8) {
        let last = self.log.len() - 1;
        let view = self.view();
        let staying = self
            .agents
            .iter()
            .filter(|a| !a.leaving && view.contains(&a.me));
        let staying = staying.count();
        let Some(agent) = active_agent(&mut self.agents, a) else {
            return;
        };
        if !agent.leaving && staying < 2 {
            return;
        }
        if !agent.leaving {
            agent.leaving = true;
            return agent.ledger.leave();
        }
        if !agent.queue.is_empty() || !agent.running.is_empty() {
            return;
        }
        match &agent.handover {
            // The announcement must directly follow the version of the hand-over.
            Some((version_index, missing)) if missing.is_empty() && *version_index == last => {
                let me = agent.me.clone();
                self.agents.retain(|agent| agent.me != me);
                let rest = view.without(&me).members.to_vec();
                self.append(rest, Some(me));
            }
            _ => {
                let sent = agent.hand_over(&self.log);
                self.network.extend(sent);
            }
        }
    }

    pub(super) fn append(&mut self, members: Vec<Process>, retired: Option<Process>) {
        let version = self.view().version + 10;
        let view = View::new(version, members);
        self.log.push(Version { view, retired });
    }

    pub(super) fn view(&self) -> View {
        self.log[self.log.len() - 1].view.clone()
    }
}
