//! Decides when an unanswered read of the store is repeated beside its earlier attempts.
//!
//! A store that comes back from an outage may have forgotten the calls that it had received. With
//! one attempt at a time it would be asked again only after that attempt's time limit, and a limit
//! that a slow store can meet is longer than entries may take to recover. So attempts are repeated
//! at short intervals while earlier ones may still be answered, and the first answer counts.

use std::time::Duration;

/// How long a read is the only one. The store answers within 10 ms, or 300 ms when it is slow.
const FIRST_DELAY: Duration = Duration::from_millis(500);

/// The pause between later attempts. An entry has 3 s to recover after an outage, which includes
/// this pause, the answer, and a copy for an entry that the store does not answer. 600 entries
/// make 600 such calls a second, a tenth of what the store of a system of that size takes.
const LATER_DELAY: Duration = Duration::from_secs(1);

/// How long an attempt may take beyond the time that it waits for a record.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);

/// How long after the latest of `attempts` the next one is sent.
///
/// ```
/// use cassiarock_transient::hedge;
/// assert!(hedge::delay(1) < hedge::delay(2));
/// assert_eq!(hedge::delay(2), hedge::delay(9));
/// ```
#[must_use]
pub const fn delay(attempts: u32) -> Duration {
    if attempts <= 1 {
        FIRST_DELAY
    } else {
        LATER_DELAY
    }
}
