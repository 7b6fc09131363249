//! What a task takes of an upstream, and what an upstream has.

use serde::{Deserialize, Serialize};

/// An amount of each resource.
///
/// ```
/// use cassiarock_transient::Resources;
/// let room = Resources::new(64_000, 131_072, 0);
/// let task = Resources::new(6_200, 64, 0);
/// assert!(task.fits_in(&room));
/// assert!(!Resources::new(65_000, 64, 0).fits_in(&room));
/// assert_eq!(room.saturating_sub(&task).cpu, 57_800);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu: u64,
    /// Memory in MiB.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// These amounts.
    #[must_use]
    pub const fn new(cpu: u64, memory: u64, accelerators: u64) -> Self {
        Self {
            cpu,
            memory,
            accelerators,
        }
    }

    /// Whether all of it is there in `room`.
    #[must_use]
    pub const fn fits_in(&self, room: &Self) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// How many times `each` is there.
    #[must_use]
    pub fn count_of(&self, each: &Self) -> u64 {
        let times = |room: u64, each: u64| room.checked_div(each).unwrap_or(u64::MAX);
        times(self.cpu, each.cpu)
            .min(times(self.memory, each.memory))
            .min(times(self.accelerators, each.accelerators))
    }

    /// Both amounts together.
    #[must_use]
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// What is left without `other`, at least nothing.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
