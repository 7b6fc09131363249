//! Spreading what many processes do at once.

use std::time::Duration;

/// The rate at which returning processes announce themselves. The log takes several hundred
/// appends a second; half of them are left for operators, snapshots and retries.
pub const ANNOUNCEMENTS_PER_SECOND: u32 = 200;
/// No process waits longer before its first try, so that capacity returns in useful time.
pub const MAX_DELAY: Duration = Duration::from_secs(15);

/// How long a process waits before it announces itself, for a `draw` from 0 up to 1.
///
/// Made for a data centre or a whole system that returns at once: everyone's announcement in
/// the same second would be several times what the log takes, the appends would time out, and
/// their retries would keep the log where it is. `others` is the number of agents that might
/// return with this one, the last known members. In a small system the wait is nothing.
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
