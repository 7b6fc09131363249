//! The time, read by shells and handed to decisions.

use cassiarock_id::Wall;
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// One reading of both clocks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Now {
    /// Time since the process started, which never steps. It goes on while the VM is
    /// suspended: what was promised to others for a time must not outlast it.
    pub up: Duration,
    /// Wall-clock time, which other processes' times are compared with.
    pub wall: Wall,
}

/// The clocks of one process.
///
/// ```
/// use cassiarock_process::Clock;
/// let clock = Clock::new();
/// assert!(clock.now().up <= clock.now().up);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Duration,
}

impl Clock {
    /// Clocks that count from now.
    #[must_use]
    pub fn new() -> Self {
        Self { started: booted() }
    }

    /// A reading.
    #[must_use]
    pub fn now(&self) -> Now {
        Now {
            up: booted().saturating_sub(self.started),
            wall: Wall::now(),
        }
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// The time since the VM started, its suspensions included. The clock is there on every
/// system that the daemon runs on; without it time would stand still, and nothing would be
/// served.
fn booted() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
