//! The order of the queue.

use std::time::Duration;

/// The rank of a job in the queue. Ranks are compared field by field, and the least goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(in crate::scheduler) struct Rank {
    /// Jobs that will be late in any case come after all others.
    ///
    /// Ordered by their latest start alone, they would go before those that can still be on time,
    /// and under lasting overload every job would wait until it is late.
    pub(in crate::scheduler) is_late: bool,
    /// Jobs that have started come before others, because their done tasks are worth nothing until
    /// the last one is done. Without this, the last task of a wide job is placed in a burst long
    /// after its first one has ended.
    pub(in crate::scheduler) is_unstarted: bool,
    /// Callers who had waited before they submitted are answered late whatever is done. In the
    /// first second after a loss of all machines they are half of all callers. Placed last, they
    /// leave the room to those who can be on time.
    pub(in crate::scheduler) has_waited: bool,
    /// The operators' priority, 0 first.
    pub(in crate::scheduler) urgency: u32,
    /// The latest start with which the job is on time.
    pub(in crate::scheduler) latest_start: Duration,
    /// The entry's number of the job, which makes each rank unique.
    pub(in crate::scheduler) number: u64,
}
