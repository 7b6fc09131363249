//! Decides when an entry with an old configuration asks another entry for a newer one.
//!
//! A configuration of 1,700 routes is some 250 KB, and heartbeats tell an entry ten times a
//! second, over each of its links, that others have a newer one. An entry that asked at each
//! heartbeat was sent a copy each time: on links of 2 Mbit/s the copies took several seconds and
//! delayed heartbeats and jobs, so that the links were considered dead and replaced, 1,700 times
//! in a minute among five entries. An entry therefore asks one other entry at a time, and only if
//! the store does not deliver the version itself.

use cassiarock_id::Process;
use std::time::Duration;

/// How long the store has to deliver a version that others already have. It delivers a record to
/// all readers within some 10 ms, or 300 ms when it is slow. This leaves most of the 2 s that
/// operators allow for a change to be in force.
const STORE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long the store has for a version that it is sending: 250 KB take a second on a link of
/// 2 Mbit/s. Connections may go silent in the middle of a response, which is detected later than
/// operators allow for.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an asked entry has to send its copy. The copy is some 40 KB compressed, which takes a
/// sixth of a second on a link of 2 Mbit/s. The link carries jobs as well, and several entries
/// may ask at once.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);

/// Tracks whether other entries have a newer configuration, and which of them was asked for it.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationLag {
    /// When another entry first reported a newer version.
    since: Option<Duration>,
    /// The entry that was asked last, and when.
    asked: Option<(Process, Duration)>,
}

impl ConfigurationLag {
    /// Creates the state of an entry that is up to date.
    ///
    /// ```
    /// use cassiarock_transient::lag::ConfigurationLag;
    /// use std::time::Duration;
    /// let mut lag = ConfigurationLag::new();
    /// let other = cassiarock_id::Process::new("entry-2", 1);
    /// assert!(!lag.should_ask(&other, false, Duration::ZERO));
    /// assert!(lag.should_ask(&other, false, Duration::from_millis(400)));
    /// assert!(!lag.should_ask(&other, false, Duration::from_millis(500)));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that another entry has a newer version, and returns whether to ask that entry for a
    /// copy now. The wait is longer while the store `is_sending` a version.
    pub fn should_ask(&mut self, other: &Process, is_sending: bool, now: Duration) -> bool {
        let since = *self.since.get_or_insert(now);
        let is_awaiting_copy = self
            .asked
            .as_ref()
            .is_some_and(|(_, asked_at)| now < *asked_at + COPY_TIMEOUT);
        let timeout = if is_sending {
            TRANSFER_TIMEOUT
        } else {
            STORE_TIMEOUT
        };
        let is_due = now >= since + timeout && !is_awaiting_copy;
        if is_due {
            self.asked = Some((other.clone(), now));
        }
        is_due
    }

    /// When another entry was last asked for a copy that has not arrived yet.
    #[must_use]
    pub fn asked_at(&self) -> Option<Duration> {
        self.asked.as_ref().map(|(_, asked_at)| *asked_at)
    }

    /// Starts over after a version arrived, whatever its source. If other entries still have a
    /// newer one, their heartbeats report it again.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Stops waiting for a copy from an entry whose link was lost.
    pub fn link_lost(&mut self, other: &Process) {
        if self.asked.as_ref().is_some_and(|(asked, _)| asked == other) {
            self.asked = None;
        }
    }
}
