//! Processes that have gone, remembered so that late records do not bring them back.

use cassiarock_id::{Name, Process};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How many names are remembered. At 210 replaced VMs a day it covers 4 days if no name ever
/// returns, far more than a duplicate append is late; it keeps a snapshot near 1 MB.
pub const MAX_DEPARTURES: usize = 1024;

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Departure {
    incarnation: u64,
    version: u64,
}

/// The last incarnation that left, by name; the longest gone are forgotten first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Departures(BTreeMap<Name, Departure>);

impl Departures {
    /// Whether this life of the process, or a later one, has left.
    #[must_use]
    pub fn contains(&self, process: &Process) -> bool {
        self.0
            .get(&process.name)
            .is_some_and(|gone| gone.incarnation >= process.incarnation)
    }

    /// How many names are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn insert(&mut self, version: u64, process: &Process) {
        let departure = Departure {
            incarnation: process.incarnation,
            version,
        };
        self.0.insert(process.name.clone(), departure);
        if self.0.len() > MAX_DEPARTURES {
            self.forget_longest_gone();
        }
    }

    fn forget_longest_gone(&mut self) {
        let longest = self.0.iter().min_by_key(|(_, gone)| gone.version);
        if let Some(name) = longest.map(|(name, _)| name.clone()) {
            self.0.remove(&name);
        }
    }
}
