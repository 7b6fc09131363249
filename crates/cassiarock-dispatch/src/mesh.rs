//! The links that a process keeps to entries, and the directory by which it finds them.

use cassiarock_id::Process;
use cassiarock_peer::{Dialer, Event, Identity, Key, Link};
use cassiarock_transient::directory::{self, ApplyResult, Endpoint, Update};
use cassiarock_transient::roster::{LinkAction, Roster};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// Links to some of the entries.
pub(crate) struct Mesh {
    roster: Roster,
    dialers: HashMap<SocketAddr, Dialer>,
    directory: directory::State,
    identity: Identity,
    key: Key,
    events: mpsc::Sender<Event>,
}

/// An entry to which the link is one too many, or is to be kept after all.
pub(crate) struct Retired {
    pub(crate) entry: Process,
    pub(crate) is_retired: bool,
}

impl Mesh {
    /// No links yet; `roster` says how many there are to be.
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

    /// Takes what has changed in the directory of entries.
    pub(crate) fn direct(&mut self, update: &Update) -> ApplyResult {
        let taken = self.directory.apply(update);
        if let ApplyResult::Changed { added, removed } = &taken {
            log::info!(added = added, removed = removed.len(), offset = update.next; "directory of entries");
            // Each present one, known or not: it may have started again.
            update.present.iter().for_each(|place| self.meet(place));
            for address in removed.iter().filter_map(|address| address.parse().ok()) {
                let step = self.roster.remove(address);
                step.into_iter().for_each(|step| {
                    self.step(step);
                });
            }
        }
        taken
    }

    /// An entry takes links there, perhaps since a moment. A record of another writer may name no
    /// address.
    pub(crate) fn meet(&mut self, place: &Endpoint) {
        let is_near = place.data_centre == self.identity.data_centre;
        if let Ok(address) = place.address.parse() {
            self.meet_at(address, is_near);
        }
    }

    /// An entry takes links at an address of which no more is known.
    pub(crate) fn meet_seed(&mut self, address: SocketAddr) {
        self.meet_at(address, false);
    }

    fn meet_at(&mut self, address: SocketAddr, is_near: bool) {
        if *self.identity.address == *address.to_string() {
            return;
        }
        self.roster.add(address, is_near);
        if let Some(dialer) = self.dialers.get(&address) {
            dialer.nudge();
        }
    }

    /// A link opened.
    pub(crate) fn up(&mut self, link: &Link) {
        if let Some(address) = link.dialled {
            let entry = link.peer.process.clone();
            self.roster.link_opened(address, entry, link.serial);
        }
    }

    /// A link ended.
    pub(crate) fn down(&mut self, serial: u64, now: Duration) {
        self.roster.link_closed(serial, now);
    }

    /// Dials and drops links as the roster wants. Gives the entries that are to be told that
    /// their link is one too many, or no longer.
    pub(crate) fn poll(
        &mut self,
        now: Duration,
        has_tasks: impl Fn(&Process) -> bool,
    ) -> Vec<Retired> {
        let steps = self.roster.poll(now, has_tasks);
        steps
            .into_iter()
            .filter_map(|step| self.step(step))
            .collect()
    }

    fn step(&mut self, step: LinkAction) -> Option<Retired> {
        match step {
            LinkAction::Dial(address) => {
                let (me, key) = (self.identity.clone(), self.key.clone());
                let dialer = Dialer::new(address, None, me, key, self.events.clone());
                self.dialers.insert(address, dialer);
                None
            }
            LinkAction::Drop(address) => {
                log::info!(address:% = address; "not linked any more");
                self.dialers.remove(&address);
                None
            }
            LinkAction::Retire(entry) => Some(Retired {
                entry,
                is_retired: true,
            }),
            LinkAction::Resume(entry) => Some(Retired {
                entry,
                is_retired: false,
            }),
        }
    }
}
