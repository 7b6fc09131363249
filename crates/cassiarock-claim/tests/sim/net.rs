//! The simulated network: messages, heartbeats and cut links.

use super::world::{World, active_entry, pick, take_message};
use super::{Body, LEASE, MARGIN, MAX_SKEW_MS, Message, clock};
use crate::claim::owner::Event;
use cassiarock_id::Process;

impl World {
    pub(super) fn deliver(&mut self, n: u16) {
        if let Some(message) = take_message(&mut self.network, n) {
            self.deliver_message(message);
        }
    }

    /// Delivers up to `n` messages in the order in which they were sent.
    pub(super) fn flush(&mut self, n: u8) {
        for _ in 0..n {
            self.deliver(0);
        }
    }

    pub(super) fn deliver_message(&mut self, message: Message) {
        if self.is_cut(&message.from, &message.to) {
            return;
        }
        let time = self.time;
        if let Some(agent) = self.agents.iter_mut().find(|a| a.me == message.to) {
            if agent.paused {
                return self.network.push(message);
            }
            let sent = agent.handle(message, &self.log, time);
            self.network.extend(sent);
        } else if let Some(entry) = self.entries.iter_mut().find(|e| e.me == message.to) {
            if entry.paused {
                return self.network.push(message);
            }
            let sent = entry.handle(message, time, &mut self.oracle);
            self.network.extend(sent);
        }
    }

    pub(super) fn duplicate(&mut self, n: u16) {
        if let Some(message) = pick(&self.network, n).cloned() {
            self.network.push(message);
        }
    }

    /// One round of pings and pongs without loss, except over cut links.
    pub(super) fn heartbeat(&mut self, e: usize) {
        let entry = self.entries[e].me.clone();
        let now = clock(self.time, self.entries[e].skew);
        let agents: Vec<_> = self.agents.iter().map(|agent| agent.me.clone()).collect();
        for to in agents {
            let agent = self.agents.iter().find(|agent| agent.me == to);
            if agent.is_some_and(|agent| agent.paused) || self.entries[e].paused {
                continue;
            }
            let ping = Message {
                from: entry.clone(),
                to,
                body: Body::Ping(now),
            };
            let before = self.network.len();
            self.deliver_message(ping);
            for pong in self.network.split_off(before) {
                self.deliver_message(pong);
            }
        }
    }

    /// Lets an entry and the agents outside the mask `lagging` read the log, so that the
    /// entry settles the newest view.
    pub(super) fn settle(&mut self, e: usize, lagging: u8) {
        for _ in 0..self.log.len() {
            self.read_entry(e);
            for at in (0..self.agents.len()).filter(|at| lagging >> at & 1 == 0) {
                self.read(u8::try_from(at + 3).unwrap_or(0));
            }
        }
        self.time += u64::try_from(LEASE.as_millis()).unwrap_or(0);
        self.heartbeat(e);
        self.time += u64::try_from(MARGIN.as_millis()).unwrap_or(0) + 2 * MAX_SKEW_MS;
    }

    pub(super) fn ping(&mut self, e: u8, a: u8) {
        let Some(to) = pick(&self.agents, a).map(|agent| agent.me.clone()) else {
            return;
        };
        let time = self.time;
        if let Some(entry) = active_entry(&mut self.entries, e) {
            let body = Body::Ping(clock(time, entry.skew));
            let from = entry.me.clone();
            self.network.push(Message { from, to, body });
        }
    }

    pub(super) fn is_cut(&self, from: &Process, to: &Process) -> bool {
        let pair = (from.clone(), to.clone());
        let back = (to.clone(), from.clone());
        self.cut_links.contains(&pair) || self.cut_links.contains(&back)
    }

    /// Cuts the link between an entry and an agent, or restores it; the entry notices.
    pub(super) fn toggle_link(&mut self, e: u8, a: u8) {
        let Some(agent) = pick(&self.agents, a).map(|agent| agent.me.clone()) else {
            return;
        };
        let Some(entry) = pick(&self.entries, e).map(|entry| entry.me.clone()) else {
            return;
        };
        let pair = (entry, agent.clone());
        if self.cut_links.remove(&pair) {
            return self.step_all_owners(e, &Event::AgentReachable(agent));
        }
        self.cut_links.insert(pair);
        self.step_all_owners(e, &Event::AgentUnreachable(agent));
    }

    pub(super) fn keeper_lost(&mut self, e: u8, a: u8) {
        if let Some(agent) = pick(&self.agents, a).map(|agent| agent.me.clone()) {
            self.step_all_owners(e, &Event::AgentUnreachable(agent.clone()));
            self.step_all_owners(e, &Event::AgentReachable(agent));
        }
    }
}
