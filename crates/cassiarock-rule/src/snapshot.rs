//! The schedule of snapshots, which preserve the state when older records are deleted.

use crate::State;
use cassiarock_id::Wall;
use std::time::Duration;

/// A snapshot becomes due when the last one is as old as the retention time divided by this. The
/// rest is a margin for outages: after the log was down for less than half of the retention
/// time, the last snapshot still exists.
const RETENTION_DIVISOR: u32 = 4;
/// A snapshot becomes due after this many records, so that a new process reads few of them.
const MAX_UNCOVERED_RECORDS: u64 = 1024;
/// Snapshots that become due in all processes at once, as after an outage or after many records,
/// are spread over this time. With 2,900 processes one is written every 20 ms, so that a few are
/// written before the first has reached the others; the log accepts several hundred appends a
/// second.
const JITTER_WINDOW: Duration = Duration::from_secs(60);

/// The schedule by which one process writes snapshots. No process is dedicated to it: each waits
/// for a random delay, and the first snapshot resets the others. Duplicate and outdated snapshots
/// are harmless, see [`crate::Fold`].
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    retention: Duration,
    draw: f64,
    due_since: Option<Wall>,
}

impl Schedule {
    /// Creates a schedule for a log that keeps records for `retention`, with the random `draw` of
    /// this process from 0 up to 1.
    #[must_use]
    pub fn new(retention: Duration, draw: f64) -> Self {
        Self {
            retention,
            draw: draw.clamp(0.0, 1.0),
            due_since: None,
        }
    }

    /// Whether to append a snapshot of `state` now, which must be up to date with the end of the
    /// log. Call it at least once a second while the log answers, and `reset` when it does not.
    ///
    /// ```
    /// use cassiarock_id::Wall;
    /// use cassiarock_rule::{State, snapshot::Schedule};
    /// use std::time::Duration;
    /// let mut schedule = Schedule::new(Duration::from_secs(86_400), 0.5);
    /// let now = Wall::from_millis(1_000_000_000);
    /// let mut state = State::default();
    /// state.skip(0);
    /// assert!(!schedule.is_due(&state, now));
    /// assert!(schedule.is_due(&state, now.plus(Duration::from_secs(30))));
    /// ```
    pub fn is_due(&mut self, state: &State, now: Wall) -> bool {
        if !self.needs_snapshot(state, now) {
            self.due_since = None;
            return false;
        }
        let since = *self.due_since.get_or_insert(now);
        // With a short retention time a whole minute could be too late.
        let window = JITTER_WINDOW.min(self.retention / RETENTION_DIVISOR);
        now.since(since) >= window.mul_f64(self.draw)
    }

    /// Restarts the delay of a due snapshot, so that after an outage the processes are spread
    /// again.
    pub fn reset(&mut self) {
        self.due_since = None;
    }

    fn needs_snapshot(&self, state: &State, now: Wall) -> bool {
        if state.next == 0 {
            return false;
        }
        let max_age = self.retention / RETENTION_DIVISOR;
        let age = now.since(state.covered_at);
        // A clock far ahead at the author of the last snapshot must not delay the next one.
        let ahead = state.covered_at.since(now);
        let many = state.next.saturating_sub(state.covered) > MAX_UNCOVERED_RECORDS;
        many || age >= max_age || ahead >= max_age
    }
}
