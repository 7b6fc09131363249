//! Tracks the newer configurations that other entries have in force.

use crate::timing::LINK_TIMEOUT;
use std::collections::VecDeque;
use std::time::Duration;

/// Most versions that are remembered. In a storm of changes an entry lacks a few at a time.
const MAX_VERSIONS: usize = 64;

/// The configurations that an entry lacks, and since when it knows of them.
///
/// An entry that has known of a newer configuration for longer than operators allow must not serve
/// callers by its old one. It goes on if no other entry with the newer one is left: that is the
/// case while the store is down.
#[derive(Clone, Debug, Default)]
pub struct MissingVersions {
    /// Versions in ascending order, and when each was first heard of.
    versions: VecDeque<(u64, Duration)>,
    /// When an entry with a newer version was last heard.
    heard_at: Duration,
}

impl MissingVersions {
    /// Creates the state of an entry that has heard of no newer version.
    ///
    /// ```
    /// use cassiarock_transient::missing::MissingVersions;
    /// use std::time::Duration;
    /// let mut missing = MissingVersions::new();
    /// missing.record(7, 6, Duration::from_millis(100));
    /// let known_for = missing.known_for(6, Duration::from_millis(300));
    /// assert_eq!(known_for, Some(Duration::from_millis(200)));
    /// assert_eq!(missing.known_for(7, Duration::from_millis(300)), None);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that another entry has `version` in force and this one `in_force`.
    pub fn record(&mut self, version: u64, in_force: u64, now: Duration) {
        self.forget(in_force);
        if version <= in_force {
            return;
        }
        self.heard_at = now;
        let is_known = |(known, _): &(u64, Duration)| *known >= version;
        if !self.versions.back().is_some_and(is_known) && self.versions.len() < MAX_VERSIONS {
            self.versions.push_back((version, now));
        }
    }

    /// For how long a newer version than `in_force` has been known, if an entry that has a newer one
    /// is still heard.
    #[must_use]
    pub fn known_for(&self, in_force: u64, now: Duration) -> Option<Duration> {
        let mut newer = self.versions.iter();
        let (_, first_heard) = newer.find(|(version, _)| *version > in_force)?;
        let is_heard = now < self.heard_at + LINK_TIMEOUT;
        is_heard.then(|| now.saturating_sub(*first_heard))
    }

    fn forget(&mut self, in_force: u64) {
        while self
            .versions
            .front()
            .is_some_and(|(version, _)| *version <= in_force)
        {
            self.versions.pop_front();
        }
    }
}
