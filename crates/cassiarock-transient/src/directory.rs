//! Where entries take links, as far as a process knows.
//!
//! The load that this answers is that of membership itself. Where each agent followed the topic
//! on which entries announce themselves, each announcement was read once by every agent: calls
//! to the store grew with entries times agents. Entries follow the topic and pass on what
//! changes over the links that they have; each change goes over a link once, so that a process
//! hears of it as often as it has links, at any size of the system.
//!
//! What a process knows is a state together with the offset before which all records of the topic
//! are folded into it. An update covers the records between two offsets; it is taken if nothing
//! is missing before it.

use cassiarock_id::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Where an entry takes links.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Endpoint {
    /// The address.
    pub address: Name,
    /// The data centre; empty if it is not known.
    #[serde(default)]
    pub data_centre: Name,
}

/// Where entries take links, before an offset of their topic.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    next: u64,
    /// Data centres by address.
    places: BTreeMap<Name, Name>,
}

impl Endpoint {
    /// An address in a data centre.
    #[must_use]
    pub fn new(address: impl Into<Name>, data_centre: impl Into<Name>) -> Self {
        Self {
            address: address.into(),
            data_centre: data_centre.into(),
        }
    }
}

/// What has changed between two offsets of the topic.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// The offset of the first record that it covers; 0 if it tells all addresses.
    pub since: u64,
    /// The offset after the last one.
    pub next: u64,
    /// Places of which a record tells in between, or all of them.
    pub present: Vec<Endpoint>,
    /// Addresses whose records were dropped in between.
    pub gone: Vec<Name>,
}

/// What became of an update.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    /// All of it was known.
    Known,
    /// The state is that of its end now.
    Changed {
        /// How many addresses are new.
        added: usize,
        /// Addresses that are there no more.
        removed: Vec<Name>,
    },
    /// Records before it are missing: all addresses have to be asked for.
    Gap,
}

impl State {
    /// The offset before which all records are folded in; 0 if nothing is known.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next
    }

    /// All of it, for a process that lacks something.
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

    /// How far it goes, for a process that may lack something.
    #[must_use]
    pub const fn empty_update(&self) -> Update {
        Update {
            since: self.next,
            next: self.next,
            present: Vec::new(),
            gone: Vec::new(),
        }
    }

    /// Takes an update, unless records before it are missing.
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
            let was = self.places.insert(address.clone(), data_centre.clone());
            added += usize::from(was.is_none());
        }
        for address in &removed {
            self.places.remove(address);
        }
        ApplyResult::Changed { added, removed }
    }
}

impl Update {
    /// All places, before the offset `next`.
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

/// Gathers records into one update.
#[derive(Clone, Debug, Default)]
pub struct UpdateBuilder {
    since: Option<u64>,
    next: u64,
    /// The data centre that the last record of an address tells of; none if it drops the address.
    addresses: BTreeMap<Name, Option<Name>>,
}

impl UpdateBuilder {
    /// Adds the record at `offset`: an address, and its data centre unless the address is dropped.
    pub fn add(&mut self, offset: u64, address: Name, data_centre: Option<Name>) {
        self.since.get_or_insert(offset);
        self.next = offset + 1;
        self.addresses.insert(address, data_centre);
    }

    /// What has been gathered, if anything was; the next one begins with nothing.
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
