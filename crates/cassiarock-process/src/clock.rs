//! The clocks that the I/O code reads and passes to the decision code.

use cassiarock_id::Wall;
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// One reading of both clocks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Now {
    /// Time since the process started, which never jumps. It keeps counting while the VM
    /// is suspended, so that no time-limited promise to others is kept beyond its limit.
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
    /// Creates clocks that count from now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            started: time_since_boot(),
        }
    }

    /// Reads both clocks.
    #[must_use]
    pub fn now(&self) -> Now {
        Now {
            up: time_since_boot().saturating_sub(self.started),
            wall: Wall::now(),
        }
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// The time since the VM booted, including suspensions. Every system that the daemon runs on
/// has this clock; without it the time would stay zero, and nothing would be served.
fn time_since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
