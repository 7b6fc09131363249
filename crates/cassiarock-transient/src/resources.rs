//! Amounts of resources: what a task needs, and what an upstream has.

use serde::{Deserialize, Serialize};

/// An amount of each resource.
///
/// ```
/// use cassiarock_transient::Resources;
/// let free = Resources::new(64_000, 131_072, 0);
/// let task = Resources::new(6_200, 64, 0);
/// assert!(task.fits_in(&free));
/// assert!(!Resources::new(65_000, 64, 0).fits_in(&free));
/// assert_eq!(free.saturating_sub(&task).cpu, 57_800);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu: u64,
    /// Memory in MiB.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Creates an amount.
    #[must_use]
    pub const fn new(cpu: u64, memory: u64, accelerators: u64) -> Self {
        Self {
            cpu,
            memory,
            accelerators,
        }
    }

    /// Whether `free` has at least this much of each resource.
    #[must_use]
    pub const fn fits_in(&self, free: &Self) -> bool {
        self.cpu <= free.cpu && self.memory <= free.memory && self.accelerators <= free.accelerators
    }

    /// The lesser amount of each resource.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// How many times `each` fits into this amount.
    #[must_use]
    pub fn count_of(&self, each: &Self) -> u64 {
        let count = |free: u64, each: u64| free.checked_div(each).unwrap_or(u64::MAX);
        count(self.cpu, each.cpu)
            .min(count(self.memory, each.memory))
            .min(count(self.accelerators, each.accelerators))
    }

    /// The sum of both amounts.
    #[must_use]
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// This amount less `other`, at least zero of each resource.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
