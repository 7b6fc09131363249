//! Age and memory bounds of ledgers and keepers.

use cassiarock_id::{Job, Wall};
use std::time::Duration;

/// How long, and in how many bytes, a ledger or keeper remembers jobs.
///
/// ```
/// use cassiarock_claim::RetentionLimit;
/// let limit = RetentionLimit::new(std::time::Duration::from_secs(600), 1 << 20);
/// assert_eq!(limit.max_bytes, 1 << 20);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetentionLimit {
    /// How long after its issue a job is remembered. It must exceed the longest time in
    /// which callers resubmit, because older ids are answered with "forgotten".
    pub max_age: Duration,
    /// Bytes for all jobs together. Above them the oldest jobs are forgotten early.
    pub max_bytes: usize,
}

impl RetentionLimit {
    /// A limit of `max_age` after a job's issue and of `max_bytes` bytes.
    #[must_use]
    pub const fn new(max_age: Duration, max_bytes: usize) -> Self {
        Self { max_age, max_bytes }
    }
}

/// The issue time up to which jobs may have been evicted. An id issued at or before it
/// that has no record must not be treated as new.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EvictionFloor(Wall);

impl EvictionFloor {
    /// No job has been evicted.
    pub(crate) const NONE: Self = Self(Wall::from_millis(0));

    pub(crate) fn covers(self, job: Job) -> bool {
        job.issued() <= self.0
    }

    pub(crate) const fn issued(self) -> Wall {
        self.0
    }

    pub(crate) fn raise(&mut self, to: Wall) {
        self.0 = self.0.max(to);
    }
}

/// Factor on the size of a map's entries: a B-tree that is filled in ascending order has
/// nodes about half full.
pub(crate) const MAP_OVERHEAD_FACTOR: usize = 2;

/// Bytes of the entry's name, which each decoded message allocates separately.
pub(crate) const ENTRY_NAME_BYTES: usize = 48;
