//! Retention limits of an agent's start ledger and claims.

use crate::check::{self, Check};
use crate::units::{Bytes, Time};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::time::Duration;

/// Retention limits that apply separately to the start ledger and to the keeper's claims.
/// A request for an evicted job is answered "forgotten"; the job is never started again.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Ledger {
    /// How long a job's record is kept, counted from the issue time in its id. Must be the
    /// same at all agents.
    #[serde_as(as = "Time")]
    pub age: Duration,
    /// Memory limit in bytes, each for the ledger and for the keeper's claims.
    #[serde_as(as = "Bytes")]
    pub bytes: usize,
}

impl Ledger {
    /// Resubmissions within this time are normal and must be recognised.
    pub(crate) const MIN_AGE: Duration = Duration::from_secs(10);
    /// The records of a longer period would not fit into memory.
    pub(crate) const MAX_AGE: Duration = Duration::from_secs(24 * 3600);
    /// Less memory than this could not hold the jobs in flight on one agent.
    const MIN_BYTES: usize = 1 << 20;

    pub(crate) fn check(&self) -> Check {
        check::between("ledger.age", self.age, Self::MIN_AGE, Self::MAX_AGE)?;
        check::at_least("ledger.bytes", self.bytes, Self::MIN_BYTES)
    }
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            age: Duration::from_secs(900),
            bytes: 64 << 20,
        }
    }
}
