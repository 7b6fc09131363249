//! When an entry that is behind asks another one for the configuration.
//!
//! The load that this answers is a configuration in bulk: some 250 KB for 1,700 routes. Heartbeats
//! tell an entry ten times a second, over each of its links, that others are ahead. One that
//! asked each time was sent a copy for each question: on links of 2 Mbit/s the copies took
//! several seconds, heartbeats and jobs waited behind them, and the links were taken for silent
//! and replaced, 1,700 times in a minute among five entries. So an entry asks one other at a
//! time, and only if the store does not bring the version itself.

use cassiarock_id::Process;
use std::time::Duration;

/// How long the store has to bring a version that others have already. It brings a record to
/// all readers within some 10 ms, and 300 ms when it is slow; of the 2 s that operators allow
/// for a change to be in force, most is left.
const STORE: Duration = Duration::from_millis(300);

/// How long the store has for what it is sending: 250 KB take a second of a link of 2 Mbit/s.
/// Connections go silent in the middle of an answer, and that is not known for longer than
/// operators allow.
const SENDING: Duration = Duration::from_secs(1);

/// How long an asked entry has for the whole copy, some 40 KB packed: a sixth of a second of a
/// link of 2 Mbit/s, which carries jobs as well, and several entries may ask at once.
const COPY: Duration = Duration::from_secs(1);

/// How far an entry is behind the others, and whom it has asked.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationLag {
    /// Since when others have been known to be ahead.
    since: Option<Duration>,
    /// Who was asked, and when.
    asked: Option<(Process, Duration)>,
}

impl ConfigurationLag {
    /// An entry that is not behind.
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

    /// Another entry has a newer version. Answers whether to ask it for a copy now; not at once
    /// while the store `is_sending` one.
    pub fn should_ask(&mut self, other: &Process, is_sending: bool, now: Duration) -> bool {
        let since = *self.since.get_or_insert(now);
        let is_asked = self.asked.as_ref().is_some_and(|(_, at)| now < *at + COPY);
        let patience = if is_sending { SENDING } else { STORE };
        let is_due = now >= since + patience && !is_asked;
        if is_due {
            self.asked = Some((other.clone(), now));
        }
        is_due
    }

    /// A version came, from wherever. If others are ahead still, their heartbeats say so.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// The link to another entry is gone, and what was on its way.
    pub fn link_lost(&mut self, other: &Process) {
        if self.asked.as_ref().is_some_and(|(asked, _)| asked == other) {
            self.asked = None;
        }
    }
}
