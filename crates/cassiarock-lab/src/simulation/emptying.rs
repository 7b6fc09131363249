//! Evacuation of data centres by operators.

use super::Simulation;
use crate::caller::FIRST_ARRIVAL;
use crate::scenario::DisturbanceKind;
use cassiarock_transient::evacuation::State;

impl Simulation<'_> {
    /// Hands all processes the set of data centres that are evacuated now.
    pub(super) fn update_evacuations(&mut self) {
        let at = self.now - FIRST_ARRIVAL;
        let active = self.scenario.disturbances.iter();
        let active = active.filter(|disturbance| {
            disturbance.kind == DisturbanceKind::Emptied && disturbance.is_active(at)
        });
        let emptied = active.filter_map(|disturbance| disturbance.data_centre.clone());
        self.evacuations = State::new(self.evacuations.next_offset() + 1, emptied);
        for entry in &mut self.entries {
            entry.scheduler.set_evacuations(self.evacuations.clone());
        }
        for number in 0..self.agents.len() {
            let agent = &mut self.agents[number];
            let is_evacuated = self.evacuations.contains(&agent.data_centre);
            let actions = agent.host.set_evacuated(is_evacuated);
            self.execute_agent_actions(number, actions);
        }
    }

    /// Checks that an agent that requests a start is in no evacuated data centre.
    pub(super) fn check_evacuation(&mut self, number: usize) {
        let agent = &self.agents[number];
        if self.evacuations.contains(&agent.data_centre) {
            let fault = format!("{} ordered a start while it is emptied", agent.process.name);
            self.invariants.report_violation(fault);
        }
    }
}
