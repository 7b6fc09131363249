//! The order of the queue.

use std::time::Duration;

/// A job's rank: the least one goes first. The fields decide in this order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    /// Jobs that will be late in any case come after all others.
    ///
    /// By their latest start alone they would go before those that can still be on time. Under
    /// lasting overload every job then waits until it is late: of 300 jobs a second 5 were on
    /// time.
    pub(super) is_late: bool,
    /// Jobs of which tasks are placed come before others: their tasks that are done are worth
    /// nothing until the last is. Without it, jobs of eight tasks had their last one placed
    /// 130 ms after their first in a burst, twice as long as a task runs.
    pub(super) is_unstarted: bool,
    /// Callers who had waited before they came are answered late whatever is done. In the
    /// first second after a loss of all machines they are half of all callers; placed last,
    /// they leave 34% in place of 31% of the worth of these seconds to be earned (mean of three
    /// seeds of one day without processor time).
    pub(super) has_waited: bool,
    /// The operators' priority, 0 first.
    pub(super) urgency: u32,
    /// The latest time to start at.
    pub(super) latest: Duration,
    /// The entry's number of the job, so that no two are alike.
    pub(super) number: u64,
}
