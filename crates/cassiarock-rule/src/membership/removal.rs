//! A bound on how fast agents are removed by others.

use crate::effect::Reason;
use cassiarock_id::Wall;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// The time in which removals are counted.
const WINDOW: Duration = Duration::from_secs(60);
/// The share of the agents that may be removed in that time, in percent: one of three data
/// centres.
const PERCENT: usize = 34;

/// When agents were removed by others, within the last minute.
///
/// An entry that is cut off from the agents, or has a fault in its checks, takes all of them
/// for dead at once. Believed, it would empty the pool for everybody, and every caller would
/// be refused, while the agents work well. If more than a third seem dead, it is more likely
/// that the watcher is wrong; the rest is removed a minute later if it still seems so.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Removals(VecDeque<Wall>);

impl Removals {
    /// Notes a removal at `at` from so many members, if it is within the bound.
    pub(super) fn try_record(&mut self, at: Wall, members: usize) -> Result<(), Reason> {
        let from = at.minus(WINDOW);
        self.0.retain(|earlier| *earlier >= from);
        let removed = self.0.len();
        let allowed = (members + removed) * PERCENT / 100;
        if removed >= allowed.max(1) {
            return Err(Reason::RemovalLimit { removed, members });
        }
        self.0.push_back(at);
        Ok(())
    }
}
