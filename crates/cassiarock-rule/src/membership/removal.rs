//! A rate limit on the removal of agents by other processes.

use crate::effect::Reason;
use cassiarock_id::Wall;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// The sliding window in which removals are counted.
const WINDOW: Duration = Duration::from_secs(60);
/// The share of the agents that may be removed within the window, in percent: one of three data
/// centres.
const MAX_REMOVED_PERCENT: usize = 34;

/// The times of removals by other processes within the last minute.
///
/// An entry that is partitioned from the agents, or whose health checks are faulty, considers all
/// of them dead at once. Without a limit it would empty the pool for all entries, and every
/// caller would be refused although the agents work. If more than a third seem dead, the observer
/// is more likely at fault; the others are removed a minute later if they still seem dead.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Removals(VecDeque<Wall>);

impl Removals {
    /// Records a removal at `at` from `members` members, if it is within the limit.
    pub(super) fn try_record(&mut self, at: Wall, members: usize) -> Result<(), Reason> {
        let window_start = at.minus(WINDOW);
        self.0.retain(|earlier| *earlier >= window_start);
        let removed = self.0.len();
        let allowed = (members + removed) * MAX_REMOVED_PERCENT / 100;
        if removed >= allowed.max(1) {
            return Err(Reason::RemovalLimit { removed, members });
        }
        self.0.push_back(at);
        Ok(())
    }
}
