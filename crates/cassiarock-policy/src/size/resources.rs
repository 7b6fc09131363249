//! Amounts of the resources that a task needs or an upstream has.

use serde::{Deserialize, Serialize};

/// The kinds of resources.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResourceKind {
    /// Processor time.
    Processor,
    /// Memory.
    Memory,
    /// Accelerators.
    Accelerator,
}

/// Amounts of each resource.
///
/// ```
/// use cassiarock_policy::size::Resources;
/// let worker = Resources::new(64_000, 128 << 10, 0);
/// assert_eq!(Resources::new(500, 256, 0).max(worker), worker);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Resources {
    /// Processors, in thousandths.
    pub milli_processors: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// More than any task needs; for an upstream that did not announce its resources.
    pub const UNLIMITED: Self = Self::new(u64::MAX, u64::MAX, u64::MAX);

    /// Amounts of all resources.
    #[must_use]
    pub const fn new(milli_processors: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self {
            milli_processors,
            memory_mib,
            accelerators,
        }
    }

    /// The maximum of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            milli_processors: self.milli_processors.max(other.milli_processors),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The first resource whose amount exceeds `times` times that of `limit`.
    pub(super) fn exceeds(&self, limit: &Self, times: u64) -> Option<ResourceKind> {
        if self.milli_processors > limit.milli_processors.saturating_mul(times) {
            return Some(ResourceKind::Processor);
        }
        if self.memory_mib > limit.memory_mib.saturating_mul(times) {
            return Some(ResourceKind::Memory);
        }
        // Accelerators are counted, not estimated, so their declared number is exact.
        (self.accelerators > limit.accelerators).then_some(ResourceKind::Accelerator)
    }
}
