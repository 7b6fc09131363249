//! How much a ledger or keeper remembers.

use cassiarock_id::{Job, Wall};
use std::time::Duration;

/// The bounds of a memory that must not grow with the number of jobs ever seen.
///
/// ```
/// use cassiarock_claim::RetentionLimit;
/// let limit = RetentionLimit::new(std::time::Duration::from_secs(600), 1 << 20);
/// assert_eq!(limit.max_bytes, 1 << 20);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetentionLimit {
    /// How long after its issue a job is remembered. It must exceed the longest time
    /// in which callers resubmit, as an older id is answered "forgotten".
    pub max_age: Duration,
    /// Bytes of memory in all. Above it the oldest jobs are forgotten early.
    pub max_bytes: usize,
}

impl RetentionLimit {
    /// Jobs are kept for `max_age` after their issue, in at most `max_bytes` bytes.
    #[must_use]
    pub const fn new(max_age: Duration, max_bytes: usize) -> Self {
        Self { max_age, max_bytes }
    }
}

/// The issue time up to which a memory may have forgotten jobs. An id at or below it
/// that is not in memory must not look new: it may have been evicted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Floor(Wall);

impl Floor {
    /// Nothing forgotten.
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

/// A map filled in ascending order leaves its nodes about half full.
pub(crate) const MAP_ROOM: usize = 2;

/// The entry's name, which a decoded message brings along in a block of its own.
pub(crate) const NAME_BYTES: usize = 48;
