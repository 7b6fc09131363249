//! When to append the state again, so that it outlives the records it came from.

use crate::State;
use cassiarock_id::Wall;
use std::time::Duration;

/// A snapshot is written when the last one has reached this share of the retention time, at
/// the earliest. The rest is for outages: while the log is down for less than half of the
/// retention time, the last snapshot is still there when it returns.
const SHARE: u32 = 4;
/// A snapshot is written after so many records, so that a new process reads few of them.
const RECORDS: u64 = 1024;
/// Snapshots that became due at once, as after an outage or after many records, are drawn over
/// this time. With 2,900 processes one draw falls into each 20 ms, so that a few write before
/// the first snapshot has reached the others; the log takes several hundred appends a second.
const SPREAD: Duration = Duration::from_secs(60);

/// One process's part in keeping the state on the log. All processes write snapshots, since
/// none is set aside for it, but each at a time of its own draw; the first snapshot makes the
/// others wait again. Copies do no harm, and neither does an old one: see [`crate::Fold`].
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    retention: Duration,
    draw: f64,
    due_since: Option<Wall>,
}

impl Schedule {
    /// A schedule for a log that keeps records for `retention`, with this process's `draw`
    /// from 0 up to 1.
    #[must_use]
    pub fn new(retention: Duration, draw: f64) -> Self {
        Self {
            retention,
            draw: draw.clamp(0.0, 1.0),
            due_since: None,
        }
    }

    /// Whether to append a snapshot of `state` now, which must be known to the end of the log.
    /// Call it at least once a second while the log answers, and `reset` when it does not.
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
        if !self.is_wanted(state, now) {
            self.due_since = None;
            return false;
        }
        let since = *self.due_since.get_or_insert(now);
        // On a log that keeps little, a whole minute could be too late.
        let spread = SPREAD.min(self.retention / SHARE);
        now.since(since) >= spread.mul_f64(self.draw)
    }

    /// Forgets how long a snapshot was due: after an outage all processes draw anew.
    pub fn reset(&mut self) {
        self.due_since = None;
    }

    fn is_wanted(&self, state: &State, now: Wall) -> bool {
        if state.next == 0 {
            return false;
        }
        let share = self.retention / SHARE;
        let age = now.since(state.covered_at);
        // A clock far ahead at the writer of the last snapshot must not put off the next one.
        let ahead = state.covered_at.since(now);
        let many = state.next.saturating_sub(state.covered) > RECORDS;
        many || age >= share || ahead >= share
    }
}
