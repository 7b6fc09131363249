//! Replacement of upstreams that announce their end.

use super::Simulation;
use super::agents::upstream_name;
use crate::event::Event;
use crate::scenario::Disturbance;
use cassiarock_transient::host::Worker;

impl Simulation<'_> {
    /// Lets the affected upstreams announce that they end after the notice.
    pub(super) fn announce_ends(&mut self, disturbance: &Disturbance) {
        for number in self.affected_agents(disturbance) {
            let agent = &mut self.agents[number];
            let Some(worker) = agent.host.worker().cloned().filter(|_| agent.is_up) else {
                continue;
            };
            let report = Worker {
                is_leaving: true,
                remaining: Some(disturbance.notice),
                sequence: worker.sequence + 1,
                ..worker
            };
            agent.is_upstream_leaving = true;
            let incarnation = agent.process.incarnation;
            let actions = agent.host.handle_report(report, self.now);
            self.execute_agent_actions(number, actions);
            let event = Event::UpstreamLeaves(number, incarnation);
            self.event_queue.add(self.now + disturbance.notice, event);
        }
    }

    /// Terminates an upstream with all that runs there.
    pub(super) fn end_upstream(&mut self, number: usize, incarnation: u64) {
        if !self.is_current_incarnation(number, incarnation) {
            return;
        }
        self.agents[number].is_upstream_down = true;
        for run in self.agents[number].upstream.abort_all() {
            self.tally.lost_by_leaving += 1;
            self.record_run_end(&run);
        }
        let agent = &mut self.agents[number];
        let id = upstream_name(number);
        let actions = agent.host.deregister(&id);
        self.execute_agent_actions(number, actions);
    }

    /// Starts the successors of upstreams that have terminated.
    pub(super) fn replace_upstreams(&mut self, disturbance: &Disturbance) {
        for number in self.affected_agents(disturbance) {
            let agent = &mut self.agents[number];
            if !agent.is_up || !agent.is_upstream_down {
                continue;
            }
            agent.cold = (self.now + disturbance.cold, disturbance.factor);
            agent.is_upstream_down = false;
            agent.upstream.restart();
            self.report_upstream(number);
        }
    }

    /// Checks that an agent that requests a start has an upstream that stays.
    pub(super) fn check_draining(&mut self, number: usize) {
        let agent = &self.agents[number];
        if agent.is_upstream_leaving {
            let fault = format!(
                "{} ordered a start on a leaving upstream",
                agent.process.name
            );
            self.invariants.report_violation(fault);
        }
    }
}
