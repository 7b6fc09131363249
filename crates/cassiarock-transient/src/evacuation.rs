//! Which data centres operators are emptying.
//!
//! The orders are records on the operators' topic, which may forget its history. So what a
//! process knows is a state together with the offset before which all records are folded into
//! it. Of two states the one with the higher offset is newer, whoever passes it on, and an order
//! that is missing from the newer one has been taken back.

use cassiarock_id::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What is known of operators' orders.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct State {
    /// Records before this offset are folded in; 0 if nothing is known.
    next: u64,
    /// The data centres that are to be empty.
    data_centres: BTreeSet<Name>,
}

/// What a newer state changes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
    /// Data centres that are to be emptied from now on.
    pub begun: Vec<Name>,
    /// Data centres that may be used again.
    pub ended: Vec<Name>,
}

impl State {
    /// The state before the offset `next`.
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

    /// Whether the data centre is to be empty.
    #[must_use]
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// The data centres that are to be empty.
    pub fn data_centres(&self) -> impl Iterator<Item = &Name> {
        self.data_centres.iter()
    }

    /// The offset before which records are folded in.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next
    }

    /// Folds the record at `offset` in; one that is folded in already changes nothing.
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

    /// Takes `other` if it is newer, and gives what that changes.
    ///
    /// It guards against orders that come back: a process that the store turns away passes on
    /// what it knew seconds ago, and a data centre that was taken back would be left empty, or
    /// one that has just been given up used again.
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
    /// Whether nothing changes but the offset.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}
