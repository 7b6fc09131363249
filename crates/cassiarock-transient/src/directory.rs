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

/// The addresses of entries, before an offset of their topic.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    next: u64,
    addresses: BTreeSet<Name>,
}

/// What has changed between two offsets of the topic.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// The offset of the first record that it covers; 0 if it tells all addresses.
    pub since: u64,
    /// The offset after the last one.
    pub next: u64,
    /// Addresses of which a record tells in between, or all of them.
    pub present: Vec<Name>,
    /// Addresses whose records were dropped in between.
    pub gone: Vec<Name>,
}

/// What became of an update.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Taken {
    /// All of it was known.
    Known,
    /// The state is that of its end now; these addresses are new, and these gone.
    Changed {
        /// New addresses.
        added: Vec<Name>,
        /// Addresses that are there no more.
        removed: Vec<Name>,
    },
    /// Records before it are missing: all addresses have to be asked for.
    Gap,
}

impl State {
    /// The offset before which all records are folded in; 0 if nothing is known.
    #[must_use]
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// All of it, for a process that lacks something.
    #[must_use]
    pub fn all(&self) -> Update {
        Update {
            since: 0,
            next: self.next,
            present: self.addresses.iter().cloned().collect(),
            gone: Vec::new(),
        }
    }

    /// How far it goes, for a process that may lack something.
    #[must_use]
    pub const fn version(&self) -> Update {
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
    /// use cassiarock_transient::directory::{State, Taken, Update};
    /// let mut state = State::default();
    /// let mut update = Update::all(7, ["10.0.0.1:7000".into()]);
    /// assert!(matches!(state.take(&update), Taken::Changed { added, .. } if added.len() == 1));
    /// assert_eq!(state.take(&update), Taken::Known);
    /// update.since = 9;
    /// update.next = 10;
    /// assert_eq!(state.take(&update), Taken::Gap);
    /// ```
    pub fn take(&mut self, update: &Update) -> Taken {
        if update.next <= self.next {
            return Taken::Known;
        }
        if update.since > self.next {
            return Taken::Gap;
        }
        self.next = update.next;
        let present = update.present.iter();
        let added: Vec<Name> = present
            .filter(|address| !self.addresses.contains(*address))
            .cloned()
            .collect();
        let removed: Vec<Name> = if update.since == 0 {
            let listed: BTreeSet<&Name> = update.present.iter().collect();
            let missing = self.addresses.iter().filter(|at| !listed.contains(at));
            missing.cloned().collect()
        } else {
            let gone = update.gone.iter();
            gone.filter(|at| self.addresses.contains(*at))
                .cloned()
                .collect()
        };
        self.addresses.extend(added.iter().cloned());
        for address in &removed {
            self.addresses.remove(address);
        }
        Taken::Changed { added, removed }
    }
}

impl Update {
    /// All addresses, before the offset `next`.
    #[must_use]
    pub fn all(next: u64, addresses: impl IntoIterator<Item = Name>) -> Self {
        Self {
            since: 0,
            next,
            present: addresses.into_iter().collect(),
            gone: Vec::new(),
        }
    }
}

/// Gathers records into one update.
#[derive(Clone, Debug, Default)]
pub struct Gathering {
    since: Option<u64>,
    next: u64,
    /// Whether the last record of an address tells of it, or drops it.
    addresses: BTreeMap<Name, bool>,
}

impl Gathering {
    /// Adds the record at `offset`, which tells of an address or drops it.
    pub fn add(&mut self, offset: u64, address: Name, is_present: bool) {
        self.since.get_or_insert(offset);
        self.next = offset + 1;
        self.addresses.insert(address, is_present);
    }

    /// What has been gathered, if anything was; the next one begins with nothing.
    pub fn take(&mut self) -> Option<Update> {
        let since = self.since.take()?;
        let (present, gone): (Vec<_>, Vec<_>) = std::mem::take(&mut self.addresses)
            .into_iter()
            .partition(|(_, is_present)| *is_present);
        let names = |all: Vec<(Name, bool)>| all.into_iter().map(|(name, _)| name).collect();
        Some(Update {
            since,
            next: self.next,
            present: names(present),
            gone: names(gone),
        })
    }
}
