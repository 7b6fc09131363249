//! Departed processes, remembered so that late records do not add them again.

use cassiarock_id::{Name, Process};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maximum number of departed names that are remembered. At 210 replaced VMs a day this
/// covers 4 days if no name ever returns, far longer than a duplicate append is late, and keeps
/// a snapshot near 1 MB.
pub const MAX_DEPARTURES: usize = 1024;

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Departure {
    incarnation: u64,
    version: u64,
}

/// The last incarnation that departed, by name; the oldest departures are forgotten first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Departures(BTreeMap<Name, Departure>);

impl Departures {
    /// Whether this incarnation of the process, or a later one, has departed.
    #[must_use]
    pub fn contains(&self, process: &Process) -> bool {
        self.0
            .get(&process.name)
            .is_some_and(|departure| departure.incarnation >= process.incarnation)
    }

    /// The number of remembered names.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no name is remembered.
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
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.0.iter().min_by_key(|(_, departure)| departure.version);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.0.remove(&name);
        }
    }
}
