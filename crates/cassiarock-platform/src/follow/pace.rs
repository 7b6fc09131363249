//! The pause between reads while records arrive.

use std::time::Duration;

/// The rate of reads that all processes together aim at while records come one after another.
const RATE: u32 = 2_000;

/// The pause after a read that gave records, for one of so many processes and a `draw` from 0
/// up to 1.
///
/// A record ends the waiting read of every process. When a thousand agents announce themselves
/// at 200 a second, each of a thousand processes would read 200 times a second. The pause lets
/// one read return several records. It comes after a read, not before: a record that comes after a quiet time,
/// such as an order to drain, reaches everyone at once, and any record within 1.5 s at 2,900
/// processes, which is less than the 2 s that a drain may take.
///
/// ```
/// use cassiarock_platform::follow::pace;
/// use std::time::Duration;
/// assert!(pace(11, 1.0) < Duration::from_millis(10));
/// assert_eq!(pace(1_000, 1.0), Duration::from_millis(500));
/// ```
#[must_use]
pub fn pace(processes: usize, draw: f64) -> Duration {
    let processes = u32::try_from(processes).unwrap_or(u32::MAX);
    let even = Duration::from_secs(1).mul_f64(f64::from(processes) / f64::from(RATE));
    even.min(LONGEST).mul_f64(0.5 + draw.clamp(0.0, 1.0) / 2.0)
}

/// The 2 s of a drain less the time to read and to tell the others.
const LONGEST: Duration = Duration::from_millis(1_500);
