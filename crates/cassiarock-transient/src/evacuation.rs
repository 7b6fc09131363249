//! The data centres that operators are evacuating.
//!
//! The evacuation orders are records on the operators' topic, whose old records may be deleted.
//! A process therefore keeps a state together with the offset up to which records are applied to
//! it. Of two states the one with the higher offset is newer, whoever sent it, and an order that
//! is missing from the newer one has been revoked.

use cassiarock_id::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The evacuation orders in force at an offset of the operators' topic.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct State {
    /// Records before this offset are applied; 0 if nothing is known.
    next: u64,
    /// The data centres under evacuation.
    data_centres: BTreeSet<Name>,
}

/// The difference between a state and a newer one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
    /// Data centres whose evacuation has begun.
    pub begun: Vec<Name>,
    /// Data centres whose evacuation has ended, so that they may be used again.
    pub ended: Vec<Name>,
}

impl State {
    /// Creates the state that results from all records before the offset `next`.
    ///
    /// ```
    /// use cassiarock_transient::evacuation::State;
    /// let state = State::new(7, ["dc-1".into()]);
    /// assert!(state.contains("dc-1") && !state.contains("dc-2"));
    /// ```
    #[must_use]
    pub fn new(next: u64, data_centres: impl IntoIterator<Item = Name>) -> Self {
        Self {
            next,
            data_centres: data_centres.into_iter().collect(),
        }
    }

    /// Whether the data centre is under evacuation.
    #[must_use]
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// The data centres under evacuation.
    pub fn data_centres(&self) -> impl Iterator<Item = &Name> {
        self.data_centres.iter()
    }

    /// The offset of the first record that is not applied.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next
    }

    /// Applies the record at `offset`. A record that is already applied changes nothing.
    ///
    /// ```
    /// use cassiarock_transient::evacuation::State;
    /// let mut state = State::default();
    /// state.apply(4, "dc-1".into(), true);
    /// state.apply(4, "dc-1".into(), false);
    /// assert!(state.contains("dc-1"));
    /// ```
    pub fn apply(&mut self, offset: u64, data_centre: Name, is_evacuated: bool) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        if is_evacuated {
            self.data_centres.insert(data_centre);
        } else {
            self.data_centres.remove(&data_centre);
        }
    }

    /// Replaces this state by `other` if that is newer, and returns the difference.
    ///
    /// An older state is ignored so that it cannot undo newer orders: a process that the store
    /// rejects passes on what it knew seconds ago, and a data centre whose evacuation was revoked
    /// would stay empty, or one whose evacuation has just begun would be used again.
    pub fn adopt(&mut self, other: &Self) -> Option<Change> {
        if other.next <= self.next {
            return None;
        }
        let begun = other.data_centres.difference(&self.data_centres);
        let ended = self.data_centres.difference(&other.data_centres);
        let change = Change {
            begun: begun.cloned().collect(),
            ended: ended.cloned().collect(),
        };
        *self = other.clone();
        Some(change)
    }
}

impl Change {
    /// Whether only the offset differs.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}
