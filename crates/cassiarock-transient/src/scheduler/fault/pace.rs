//! How fast an upstream is for its kind, and how much of each kind there is.
//!
//! Where upstreams are of several speeds, one that has turned slow differs from the others of its
//! kind, and not from the median of all.

use crate::scheduler::Scheduler;
use cassiarock_id::Name;
use std::collections::BTreeMap;

/// The fewest upstreams of a kind that tell its median. Of fewer, a slow one would be the median.
const MIN_UPSTREAMS: usize = 3;

/// How much there is of a kind of upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::scheduler) struct KindSize {
    pub(in crate::scheduler) upstreams: usize,
    pub(in crate::scheduler) cores: f64,
    pub(in crate::scheduler) free_cores: f64,
}

impl Scheduler {
    /// Updates the medians of the reported slowdown, in hundredths, and the size of each kind.
    pub(in crate::scheduler) fn update_paces(&mut self) {
        let mut all = Vec::new();
        let mut kinds: BTreeMap<Name, (Vec<u16>, KindSize)> = BTreeMap::new();
        let agents = self.agents.values().filter(|agent| agent.is_linked);
        for agent in agents.filter(|agent| agent.load.slowdown_percent > 0) {
            all.push(agent.load.slowdown_percent);
            let (slowdowns, size) = kinds.entry(agent.kind.clone()).or_default();
            slowdowns.push(agent.load.slowdown_percent);
            size.upstreams += 1;
            size.cores += agent.capacity().cpu as f64 / 1000.0;
            size.free_cores += agent.free().cpu as f64 / 1000.0;
        }
        let overall = median(&mut all);
        let mut medians = BTreeMap::new();
        self.kind_sizes.clear();
        for (kind, (mut slowdowns, size)) in kinds {
            self.kind_sizes.insert(kind.clone(), size);
            if slowdowns.len() >= MIN_UPSTREAMS {
                medians.insert(kind, median(&mut slowdowns));
            }
        }
        self.fast_use = self.compute_fast_use();
        for agent in self.agents.values_mut() {
            agent.median = medians.get(&agent.kind).copied().unwrap_or(overall);
        }
    }
}

/// The median, at least 1; 100 of none.
fn median(slowdowns: &mut [u16]) -> f64 {
    slowdowns.sort_unstable();
    let middle = slowdowns.get(slowdowns.len() / 2);
    f64::from(middle.copied().unwrap_or(100).max(1))
}
