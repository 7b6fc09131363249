//! Ejection of upstreams whose recent tasks failed.

use crate::scheduler::Scheduler;
use cassiarock_id::Process;

/// An upstream with this share of failed tasks, in hundredths, is ejected. A sound one fails one
/// in five hundred.
const EJECTION_THRESHOLD: u8 = 40;

/// At most one upstream in this many is ejected. Ejecting more would cost more room than the
/// faults do.
const MAX_EJECTED_DIVISOR: usize = 3;

impl Scheduler {
    /// Ejects the upstreams that fail most, up to a maximum. An agent forgets how tasks ended
    /// after three seconds, so an upstream that gets no work for that long is tried again.
    pub(in crate::scheduler) fn update_ejections(&mut self) {
        self.update_paces();
        let max_ejected = if self.mechanisms.ejection {
            self.agents.len() / MAX_EJECTED_DIVISOR
        } else {
            0
        };
        let mut failing: Vec<(u8, Process)> = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.load.failure_percent >= EJECTION_THRESHOLD)
            .map(|(process, agent)| (agent.load.failure_percent, process.clone()))
            .collect();
        failing.sort_by(|a, b| b.cmp(a));
        failing.truncate(max_ejected);
        for (process, agent) in &mut self.agents {
            agent.is_ejected = failing.iter().any(|(_, other)| other == process);
        }
    }
}
