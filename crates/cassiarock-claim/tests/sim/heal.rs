//! Ends all faults, so that open submissions can be answered.

use super::entry::Entry;
use super::world::{World, pick};
use crate::claim::owner::Event;

impl World {
    /// Ends all faults and lets work continue. Returns the submissions that still have no
    /// answer.
    pub fn heal(&mut self) -> Vec<u32> {
        for (entry, agent) in std::mem::take(&mut self.cut_links) {
            let at = self.entries.iter().position(|e| e.me == entry);
            self.step_all_owners(
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
            self.run_round(round);
        }
        self.entries.iter().flat_map(Entry::unanswered).collect()
    }

    /// Whether an agent has ended without announcing its departure.
    pub fn has_lost_agents(&self) -> bool {
        self.lost_agents
    }

    /// One round without faults: all processes read the log, repeat their messages and do
    /// their work.
    fn run_round(&mut self, round: u8) {
        self.time += 300;
        for n in 0..20 {
            self.read(n);
            self.continue_leave(n);
        }
        for e in 0..3_u8 {
            self.heartbeat(usize::from(e));
            for agent in self.agents.iter().map(|a| a.me.clone()).collect::<Vec<_>>() {
                self.step_all_owners(e, &Event::AgentReachable(agent));
            }
            self.step_all_owners(e, &Event::Retry);
            let alive: Vec<_> = self.entries.iter().map(|e| e.me.clone()).collect();
            let sent = self.entries[usize::from(e)].reattach(&alive, self.time, &mut self.oracle);
            self.network.extend(sent);
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

    fn continue_leave(&mut self, a: u8) {
        if pick(&self.agents, a).is_some_and(|agent| agent.leaving) {
            self.leave(a);
        }
    }
}
