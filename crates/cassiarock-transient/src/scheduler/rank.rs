//! The order of the queue.

use std::time::Duration;

/// A job's rank: the least one goes first. The fields decide in this order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    /// Jobs that will be late in any case come after all others.
    ///
    /// By their latest start alone they would go before those that can still be on time. Under
    /// lasting overload every job then waits until it is late.
    pub(super) is_late: bool,
    /// Jobs of which tasks are placed come before others: their tasks that are done are worth
    /// nothing until the last is. Without it the last task of a wide job is placed far later in
    /// a burst than its first one has ended.
    pub(super) is_unstarted: bool,
    /// Callers who had waited before they came are answered late whatever is done. In the
    /// first second after a loss of all machines they are half of all callers; placed last,
    /// they leave the room to those who can be on time.
    pub(super) has_waited: bool,
    /// The operators' priority, 0 first.
    pub(super) urgency: u32,
    /// The latest time to start at.
    pub(super) latest: Duration,
    /// The entry's number of the job, so that no two are alike.
    pub(super) number: u64,
}
