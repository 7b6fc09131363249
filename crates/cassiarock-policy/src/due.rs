//! The order in which waiting work is served.

use std::time::Duration;

/// The time at which work should start, in microseconds since the process started; it may be
/// before that. Work with the smallest due time is served first.
///
/// A job's due time is its arrival plus a multiple of its ideal run time on the pool, so that
/// small jobs overtake large ones, but a large one is overtaken only for a bounded time.
///
/// ```
/// use cassiarock_policy::Due;
/// use std::time::Duration;
/// let now = Duration::from_secs(9);
/// let due = Due::new(Duration::from_secs(8), Duration::from_millis(400));
/// assert_eq!(due.lateness(now), 600);
/// assert_eq!(Due::from_lateness(now, 600), due);
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Due(i64);

impl Due {
    /// The due time of work that arrived at `arrival` and may be overtaken for `allowance`.
    #[must_use]
    pub fn new(arrival: Duration, allowance: Duration) -> Self {
        Self(micros(arrival.saturating_add(allowance)))
    }

    /// By how many milliseconds the work is overdue at `now`; negative if it is not due yet.
    /// Processes exchange this value, since their clocks start at different times.
    #[must_use]
    pub fn lateness(self, now: Duration) -> i32 {
        let millis = (micros(now).saturating_sub(self.0)).div_euclid(1000);
        i32::try_from(millis).unwrap_or(if millis < 0 { i32::MIN } else { i32::MAX })
    }

    /// The due time of work that another process reported as `lateness` milliseconds overdue.
    #[must_use]
    pub fn from_lateness(now: Duration, lateness: i32) -> Self {
        Self(micros(now).saturating_sub(i64::from(lateness) * 1000))
    }

    /// This due time, postponed by `by`.
    #[must_use]
    pub fn plus(self, by: Duration) -> Self {
        Self(self.0.saturating_add(micros(by)))
    }
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
