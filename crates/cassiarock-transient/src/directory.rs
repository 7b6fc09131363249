//! The directory of entries: the addresses at which entries accept links, as far as a process knows
//! them.
//!
//! This limits the load of membership changes. When each agent followed the topic on which entries
//! announce themselves, every agent read every announcement, and calls to the store grew with the
//! number of entries times the number of agents. Now entries follow the topic and forward changes
//! over their existing links. Each change is sent over a link once, so that a process receives it
//! as often as it has links, whatever the size of the system.
//!
//! A process holds a state and the topic offset before which all records are applied to it. An
//! update covers the records between two offsets and is applied only if no record before it is
//! missing.

use cassiarock_id::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The address of an entry and its data centre.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Endpoint {
    /// The address at which the entry accepts links.
    pub address: Name,
    /// The data centre; empty if unknown.
    #[serde(default)]
    pub data_centre: Name,
}

/// The endpoints of all entries, as of an offset of their topic.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    next: u64,
    /// Data centres by address.
    places: BTreeMap<Name, Name>,
}

impl Endpoint {
    /// An endpoint at this address in this data centre.
    #[must_use]
    pub fn new(address: impl Into<Name>, data_centre: impl Into<Name>) -> Self {
        Self {
            address: address.into(),
            data_centre: data_centre.into(),
        }
    }
}

/// The changes between two offsets of the topic.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// The offset of the first record that it covers; 0 if it lists all endpoints.
    pub since: u64,
    /// The offset after the last record that it covers.
    pub next: u64,
    /// Endpoints announced in between, or all of them if `since` is 0.
    pub present: Vec<Endpoint>,
    /// Addresses whose records were deleted in between.
    pub gone: Vec<Name>,
}

/// The result of applying an update.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    /// The state already contains all of it.
    Known,
    /// The state now includes the update.
    Changed {
        /// The number of new addresses.
        added: usize,
        /// Addresses that are no longer in the directory.
        removed: Vec<Name>,
    },
    /// Records before the update are missing: a full update has to be requested.
    Gap,
}

impl State {
    /// The offset before which all records are applied; 0 if nothing is known.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next
    }

    /// An update that lists all endpoints, for a process that misses records.
    #[must_use]
    pub fn full_update(&self) -> Update {
        Update {
            since: 0,
            next: self.next,
            present: self
                .places
                .iter()
                .map(|(address, data_centre)| Endpoint::new(address.clone(), data_centre.clone()))
                .collect(),
            gone: Vec::new(),
        }
    }

    /// An update without records at this state's offset. A receiver that misses records finds the
    /// gap by it.
    #[must_use]
    pub const fn empty_update(&self) -> Update {
        Update {
            since: self.next,
            next: self.next,
            present: Vec::new(),
            gone: Vec::new(),
        }
    }

    /// Applies an update, unless records before it are missing.
    ///
    /// ```
    /// use cassiarock_transient::directory::{ApplyResult, Endpoint, State, Update};
    /// let mut state = State::default();
    /// let mut update = Update::full(7, [Endpoint::new("10.0.0.1:7000", "dc-1")]);
    /// assert!(matches!(state.apply(&update), ApplyResult::Changed { added: 1, .. }));
    /// assert_eq!(state.apply(&update), ApplyResult::Known);
    /// update.since = 9;
    /// update.next = 10;
    /// assert_eq!(state.apply(&update), ApplyResult::Gap);
    /// ```
    pub fn apply(&mut self, update: &Update) -> ApplyResult {
        if update.next <= self.next {
            return ApplyResult::Known;
        }
        if update.since > self.next {
            return ApplyResult::Gap;
        }
        self.next = update.next;
        let removed: Vec<Name> = if update.since == 0 {
            let listed: BTreeSet<&Name> = update.present.iter().map(|at| &at.address).collect();
            let missing = self.places.keys().filter(|at| !listed.contains(at));
            missing.cloned().collect()
        } else {
            let gone = update.gone.iter();
            gone.filter(|at| self.places.contains_key(*at))
                .cloned()
                .collect()
        };
        let mut added = 0;
        for Endpoint {
            address,
            data_centre,
        } in &update.present
        {
            let previous = self.places.insert(address.clone(), data_centre.clone());
            added += usize::from(previous.is_none());
        }
        for address in &removed {
            self.places.remove(address);
        }
        ApplyResult::Changed { added, removed }
    }
}

impl Update {
    /// An update that lists all endpoints as of the offset `next`.
    #[must_use]
    pub fn full(next: u64, places: impl IntoIterator<Item = Endpoint>) -> Self {
        Self {
            since: 0,
            next,
            present: places.into_iter().collect(),
            gone: Vec::new(),
        }
    }
}

/// Combines consecutive records into one update.
#[derive(Clone, Debug, Default)]
pub struct UpdateBuilder {
    since: Option<u64>,
    next: u64,
    /// The data centre from the last record of each address; `None` if that record deletes the
    /// address.
    addresses: BTreeMap<Name, Option<Name>>,
}

impl UpdateBuilder {
    /// Adds the record at `offset`: an address with its data centre, or with `None` if the record
    /// deletes the address.
    pub fn add(&mut self, offset: u64, address: Name, data_centre: Option<Name>) {
        self.since.get_or_insert(offset);
        self.next = offset + 1;
        self.addresses.insert(address, data_centre);
    }

    /// Returns the update for the records added since the last call, if there were any, and resets
    /// the builder.
    pub fn take(&mut self) -> Option<Update> {
        let mut update = Update {
            since: self.since.take()?,
            next: self.next,
            ..Update::default()
        };
        for (address, data_centre) in std::mem::take(&mut self.addresses) {
            match data_centre {
                Some(data_centre) => update.present.push(Endpoint::new(address, data_centre)),
                None => update.gone.push(address),
            }
        }
        Some(update)
    }
}
