//! Resources of an agent's worker.

use crate::check::{self, Check};
use crate::units::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

/// Total resources of the worker. A task that declares a larger need can never run there.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Capacity {
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in bytes.
    #[serde_as(as = "Bytes")]
    pub memory: usize,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Capacity {
    pub(crate) fn check(&self) -> Check {
        check::positive("capacity.cores", self.cores as usize)?;
        check::positive("capacity.memory", self.memory)
    }
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            cores: 64,
            memory: 128 << 30,
            accelerators: 0,
        }
    }
}
