//! The links that a process keeps with entries, and the directory in which it finds them.

use cassiarock_id::Process;
use cassiarock_peer::{Dialer, Event, Identity, Key, Link};
use cassiarock_transient::directory::{self, ApplyResult, Endpoint, Update};
use cassiarock_transient::roster::{LinkAction, Roster};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// Keeps links with some of the entries.
pub(crate) struct Mesh {
    roster: Roster,
    dialers: HashMap<SocketAddr, Dialer>,
    directory: directory::State,
    identity: Identity,
    key: Key,
    events: mpsc::Sender<Event>,
}

/// Whether the link with an entry is surplus and about to be dropped, or is to be kept after all.
pub(crate) struct Retirement {
    pub(crate) entry: Process,
    pub(crate) is_retired: bool,
}

impl Mesh {
    /// Creates a mesh without links. `roster` decides with which entries to link.
    pub(crate) fn new(
        roster: Roster,
        identity: Identity,
        key: Key,
        events: mpsc::Sender<Event>,
    ) -> Self {
        Self {
            roster,
            dialers: HashMap::new(),
            directory: directory::State::default(),
            identity,
            key,
            events,
        }
    }

    pub(crate) const fn identity(&self) -> &Identity {
        &self.identity
    }

    pub(crate) const fn directory(&self) -> &directory::State {
        &self.directory
    }

    /// Applies an update of the directory of entries, and adds and removes entries accordingly.
    pub(crate) fn apply_update(&mut self, update: &Update) -> ApplyResult {
        let taken = self.directory.apply(update);
        if let ApplyResult::Changed { added, removed } = &taken {
            log::info!(added = added, removed = removed.len(), offset = update.next; "directory of entries");
            // Adds known entries as well, because they may have restarted.
            update
                .present
                .iter()
                .for_each(|place| self.add_entry(place));
            for address in removed.iter().filter_map(|address| address.parse().ok()) {
                let step = self.roster.remove(address);
                step.into_iter().for_each(|step| {
                    self.execute(step);
                });
            }
        }
        taken
    }

    /// Adds an entry that accepts links and may just have started. Ignores an invalid address, which
    /// another writer of the directory may have written.
    pub(crate) fn add_entry(&mut self, place: &Endpoint) {
        let is_near = place.data_centre == self.identity.data_centre;
        if let Ok(address) = place.address.parse() {
            self.add_address(address, is_near);
        }
    }

    /// Adds an entry of which only the address is known.
    pub(crate) fn add_seed(&mut self, address: SocketAddr) {
        self.add_address(address, false);
    }

    fn add_address(&mut self, address: SocketAddr, is_near: bool) {
        if *self.identity.address == *address.to_string() {
            return;
        }
        self.roster.add(address, is_near);
        if let Some(dialer) = self.dialers.get(&address) {
            dialer.dial_now();
        }
    }

    /// Records that a link has opened.
    pub(crate) fn link_opened(&mut self, link: &Link) {
        if let Some(address) = link.dialled {
            let entry = link.peer.process.clone();
            self.roster.link_opened(address, entry, link.serial);
        }
    }

    /// Records that a link has closed.
    pub(crate) fn link_closed(&mut self, serial: u64, now: Duration) {
        self.roster.link_closed(serial, now);
    }

    /// Dials entries and drops links as the roster decides. Returns the entries whose links have
    /// become surplus, or are no longer.
    pub(crate) fn poll(
        &mut self,
        now: Duration,
        has_tasks: impl Fn(&Process) -> bool,
    ) -> Vec<Retirement> {
        let steps = self.roster.poll(now, has_tasks);
        steps
            .into_iter()
            .filter_map(|step| self.execute(step))
            .collect()
    }

    fn execute(&mut self, step: LinkAction) -> Option<Retirement> {
        match step {
            LinkAction::Dial(address) => {
                let (identity, key) = (self.identity.clone(), self.key.clone());
                let dialer = Dialer::new(address, None, identity, key, self.events.clone());
                self.dialers.insert(address, dialer);
                None
            }
            LinkAction::Drop(address) => {
                log::info!(address:% = address; "not linked any more");
                self.dialers.remove(&address);
                None
            }
            LinkAction::Retire(entry) => Some(Retirement {
                entry,
                is_retired: true,
            }),
            LinkAction::Resume(entry) => Some(Retirement {
                entry,
                is_retired: false,
            }),
        }
    }
}
