//! Random delays that spread the announcements of many processes over time.

use std::time::Duration;

/// The target rate of announcements by returning processes. The log accepts several hundred
/// appends a second; half of them are left for operators, snapshots and retries.
pub const ANNOUNCEMENTS_PER_SECOND: u32 = 200;
/// The maximum delay before the first attempt, so that capacity returns soon.
pub const MAX_DELAY: Duration = Duration::from_secs(15);

/// The time that a process waits before it announces itself, for a random `draw` from 0 up to 1.
///
/// When a data centre or the whole system returns at once, simultaneous announcements would be
/// several times what the log accepts: the appends would time out, and their retries would keep
/// the log overloaded. `others` is the number of agents that might return with this one, which
/// are the last known members. In a small system the delay is negligible.
///
/// ```
/// use cassiarock_rule::jitter;
/// use std::time::Duration;
/// assert_eq!(jitter::delay(1000, 0.5), Duration::from_millis(2500));
/// assert!(jitter::delay(11, 1.0) < Duration::from_millis(100));
/// assert_eq!(jitter::delay(1_000_000, 1.0), jitter::MAX_DELAY);
/// ```
#[must_use]
pub fn delay(others: usize, draw: f64) -> Duration {
    let others = u32::try_from(others).unwrap_or(u32::MAX);
    let window =
        Duration::from_secs(1).mul_f64(f64::from(others) / f64::from(ANNOUNCEMENTS_PER_SECOND));
    window.min(MAX_DELAY).mul_f64(draw.clamp(0.0, 1.0))
}
