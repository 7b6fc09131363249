//! Wall-clock time.

use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A point in wall-clock time, in milliseconds since the Unix epoch. Clocks of
/// different VMs differ by up to the setting `clock_skew`.
///
/// ```
/// use cassiarock_id::Wall;
/// use std::time::Duration;
/// let early = Wall::from_millis(1_000);
/// let late = early.plus(Duration::from_millis(500));
/// assert_eq!(late.since(early), Duration::from_millis(500));
/// assert_eq!(early.since(late), Duration::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Wall(u64);

impl Wall {
    /// The time `millis` milliseconds after the epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The current time of this VM's clock. Only code that does I/O calls it; decision logic takes
    /// the time as an argument.
    #[must_use]
    pub fn now() -> Self {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// The time `duration` after this one.
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(millis(duration)))
    }

    /// The time `duration` before this one, but not before the epoch.
    #[must_use]
    pub fn minus(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(millis(duration)))
    }

    /// The time from `earlier` to this one; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
