//! Which upstreams are kept out for what their latest tasks showed.

use super::Scheduler;
use cassiarock_id::Process;

/// An upstream with this share of failed tasks, in hundredths, is kept out: a sound one fails
/// one in five hundred.
const FAILING: u8 = 40;

/// At most one upstream in three is kept out: more would lose more room than faults do.
const EJECTED: usize = 3;

impl Scheduler {
    /// The median pace of the upstreams; 1 hundredth at least.
    fn median_pace(&self) -> f64 {
        let mut paces: Vec<u16> = self
            .agents
            .values()
            .filter(|agent| agent.is_linked && agent.load.slowdown_percent > 0)
            .map(|agent| agent.load.slowdown_percent)
            .collect();
        paces.sort_unstable();
        f64::from(paces.get(paces.len() / 2).copied().unwrap_or(100).max(1))
    }

    /// Keeps out the upstreams that fail most, up to a bound. An agent forgets ends after three
    /// seconds, so an upstream that gets no work for that long is tried anew.
    pub(super) fn judge(&mut self) {
        self.median = self.median_pace();
        let bound = if self.mechanisms.ejection {
            self.agents.len() / EJECTED
        } else {
            0
        };
        let mut failing: Vec<(u8, Process)> = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.load.failure_percent >= FAILING)
            .map(|(process, agent)| (agent.load.failure_percent, process.clone()))
            .collect();
        failing.sort_by(|a, b| b.cmp(a));
        failing.truncate(bound);
        for (process, agent) in &mut self.agents {
            agent.is_ejected = failing.iter().any(|(_, other)| other == process);
        }
    }
}
