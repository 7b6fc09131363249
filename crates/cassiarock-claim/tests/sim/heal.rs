//! The end of all faults.

use super::entry::Entry;
use super::world::{World, index};
use crate::claim::owner::Event;

impl World {
    /// Lets all faults end and work go on; the submissions that still have no answer.
    pub fn heal(&mut self) -> Vec<u32> {
        for (entry, agent) in std::mem::take(&mut self.cut) {
            let at = self.entries.iter().position(|e| e.me == entry);
            self.all(
                u8::try_from(at.unwrap_or(0)).unwrap_or(0),
                &Event::AgentReachable(agent),
            );
        }
        for entry in &mut self.entries {
            entry.paused = false;
        }
        for agent in &mut self.agents {
            agent.paused = false;
        }
        for round in 0..40 {
            self.work(round);
        }
        self.entries.iter().flat_map(Entry::unanswered).collect()
    }

    /// Whether an agent has ended that announced no end of its own.
    pub fn has_lost_agents(&self) -> bool {
        self.lost_agents
    }

    /// One round without faults: everybody reads, is asked again and does its work.
    fn work(&mut self, round: u8) {
        self.time += 300;
        for n in 0..20 {
            self.read(n);
            self.leave_on(n);
        }
        for e in 0..3_u8 {
            self.heartbeat(usize::from(e));
            for agent in self.agents.iter().map(|a| a.me.clone()).collect::<Vec<_>>() {
                self.all(e, &Event::AgentReachable(agent));
            }
            self.all(e, &Event::Retry);
            let alive: Vec<_> = self.entries.iter().map(|e| e.me.clone()).collect();
            let sent = self.entries[usize::from(e)].reattach(&alive, self.time, &mut self.truth);
            self.net.extend(sent);
            self.flush(200);
            self.place(e, round);
            self.flush(100);
        }
        for a in 0..8 {
            self.begin(a, 0);
            self.begin(a, 0);
            self.end(a, 0);
            self.end(a, 0);
        }
        self.flush(100);
    }

    fn leave_on(&mut self, a: u8) {
        if index(&self.agents, a).is_some_and(|agent| agent.leaving) {
            self.leave(a);
        }
    }
}
