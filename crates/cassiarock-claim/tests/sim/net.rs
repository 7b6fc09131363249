//! The network: messages, heartbeats and cuts.

use super::world::{World, active, index, pick};
use super::{Body, LEASE, MARGIN, Message, SKEW, clock};
use crate::claim::owner::Event;
use cassiarock_id::Process;

impl World {
    pub(super) fn deliver(&mut self, n: u16) {
        if let Some(message) = pick(&mut self.net, n) {
            self.hand(message);
        }
    }

    /// Delivers up to `n` messages in the order of their sending.
    pub(super) fn flush(&mut self, n: u8) {
        for _ in 0..n {
            self.deliver(0);
        }
    }

    pub(super) fn hand(&mut self, message: Message) {
        if self.is_cut(&message.from, &message.to) {
            return;
        }
        let time = self.time;
        if let Some(agent) = self.agents.iter_mut().find(|a| a.me == message.to) {
            if agent.paused {
                return self.net.push(message);
            }
            let sent = agent.handle(message, &self.log, time);
            self.net.extend(sent);
        } else if let Some(entry) = self.entries.iter_mut().find(|e| e.me == message.to) {
            if entry.paused {
                return self.net.push(message);
            }
            let sent = entry.handle(message, time, &mut self.truth);
            self.net.extend(sent);
        }
    }

    pub(super) fn double(&mut self, n: u16) {
        if let Some(message) = index(&self.net, n).cloned() {
            self.net.push(message);
        }
    }

    /// One round of pings and pongs without loss, but over no cut.
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
            let before = self.net.len();
            self.hand(ping);
            for pong in self.net.split_off(before) {
                self.hand(pong);
            }
        }
    }

    /// An entry settles the newest view, with the agents that are not in the mask.
    pub(super) fn settle(&mut self, e: usize, lagging: u8) {
        for _ in 0..self.log.len() {
            self.read_entry(e);
            for at in (0..self.agents.len()).filter(|at| lagging >> at & 1 == 0) {
                self.read(u8::try_from(at + 3).unwrap_or(0));
            }
        }
        self.time += u64::try_from(LEASE.as_millis()).unwrap_or(0);
        self.heartbeat(e);
        self.time += u64::try_from(MARGIN.as_millis()).unwrap_or(0) + 2 * SKEW;
    }

    pub(super) fn ping(&mut self, e: u8, a: u8) {
        let Some(to) = index(&self.agents, a).map(|agent| agent.me.clone()) else {
            return;
        };
        let time = self.time;
        if let Some(entry) = active(&mut self.entries, e) {
            let body = Body::Ping(clock(time, entry.skew));
            let from = entry.me.clone();
            self.net.push(Message { from, to, body });
        }
    }

    pub(super) fn is_cut(&self, from: &Process, to: &Process) -> bool {
        let pair = (from.clone(), to.clone());
        let back = (to.clone(), from.clone());
        self.cut.contains(&pair) || self.cut.contains(&back)
    }

    /// Cuts a pair, or joins it again; the entry notices.
    pub(super) fn cut(&mut self, e: u8, a: u8) {
        let Some(agent) = index(&self.agents, a).map(|agent| agent.me.clone()) else {
            return;
        };
        let Some(entry) = index(&self.entries, e).map(|entry| entry.me.clone()) else {
            return;
        };
        let pair = (entry, agent.clone());
        if self.cut.remove(&pair) {
            return self.all(e, &Event::AgentReachable(agent));
        }
        self.cut.insert(pair);
        self.all(e, &Event::AgentUnreachable(agent));
    }

    pub(super) fn keeper_lost(&mut self, e: u8, a: u8) {
        if let Some(agent) = index(&self.agents, a).map(|agent| agent.me.clone()) {
            self.all(e, &Event::AgentUnreachable(agent.clone()));
            self.all(e, &Event::AgentReachable(agent));
        }
    }
}
