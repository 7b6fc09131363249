//! Links of an entry: with agents, and with other entries.

use super::Entry;
use crate::compression::decompress;
use crate::links::send;
use cassiarock_id::Process;
use cassiarock_peer::Event;
use cassiarock_transient::directory::{Place, Taken};
use cassiarock_transient::scheduler::Action;
use cassiarock_transient::{Message, directory, timing};
use cassiarock_wire::{Frame, Hello, Role};
use std::time::Duration;

/// Entries whose addresses are passed on to agents; the aim is some 600.
const ENTRIES: usize = 4_096;

impl Entry {
    pub(super) fn event(&mut self, event: Event, now: Duration) -> Vec<Action> {
        match event {
            Event::Up(link) => {
                let peer = link.peer.clone();
                log::info!(dependency:% = peer.process, role:? = peer.role; "link opened");
                self.mesh.up(&link);
                self.links.open(link);
                self.tell_evacuations(&peer.process);
                match peer.role {
                    Role::Agent => {
                        self.scheduler.link(&peer.process, &peer.data_centre, now);
                        self.tell_entries(&peer.process);
                        let version = Message::Directory(self.mesh.directory().version());
                        send(&self.links, &peer.process, version);
                    }
                    Role::Entry => self.meet(&peer),
                }
                Vec::new()
            }
            // Also over an older link: two entries that dial each other at once may each take
            // another link for the newer one. What agents tell is matched by attempt.
            Event::Frame(peer, Frame::Transient(message)) => self.message(&peer, message, now),
            Event::Frame(..) => Vec::new(),
            Event::Down(peer, serial) => {
                self.mesh.down(serial, now);
                if self.links.close(&peer.process, serial) {
                    log::warn!(dependency:% = peer.process, role:? = peer.role; "link lost");
                    self.scheduler.unlink(&peer.process);
                    self.lag.lose(&peer.process);
                    // Agents have its address; new ones are told of it again when it is back.
                    let place = Place::new(peer.address.clone(), peer.data_centre.clone());
                    self.entries.remove(&place);
                }
                Vec::new()
            }
        }
    }

    pub(super) fn message(&mut self, peer: &Hello, message: Message, now: Duration) -> Vec<Action> {
        match (peer.role, message) {
            (Role::Entry, Message::EntryBeat { version, .. }) => {
                let is_sending = self.store.is_receiving();
                if version > self.version() && self.lag.is_to_ask(&peer.process, is_sending, now) {
                    log::info!(dependency:% = peer.process, version = version, before = self.version(); "configuration asked for");
                    send(&self.links, &peer.process, Message::AskConfiguration);
                }
                Vec::new()
            }
            (Role::Entry, Message::AskConfiguration) => {
                self.pass_on(&peer.process);
                Vec::new()
            }
            (Role::Entry, Message::Configuration { packed, .. }) => {
                match decompress(&packed) {
                    Ok(text) => self.configure(&text, "another entry"),
                    Err(error) => {
                        log::warn!(from:% = peer.process; "configuration left out: {error}");
                    }
                }
                Vec::new()
            }
            (Role::Agent, Message::AskDirectory) => {
                let all = Message::Directory(self.mesh.directory().all());
                send(&self.links, &peer.process, all);
                Vec::new()
            }
            (Role::Entry, Message::Evacuations(state)) => {
                self.evacuate(&state, "another entry");
                Vec::new()
            }
            (_, message) => self.scheduler.message(&peer.process, message, now),
        }
    }

    /// An entry that the store turns away is known to its agents through others.
    pub(super) fn meet(&mut self, peer: &Hello) {
        let place = Place::new(peer.address.clone(), peer.data_centre.clone());
        if self.entries.len() < ENTRIES && self.entries.insert(place.clone()) {
            // Only the new one: the whole list to all agents would be 100 MB with 600 entries.
            let news = vec![place];
            for agent in self.scheduler.linked() {
                send(&self.links, agent, Message::Entries(news.clone()));
            }
        }
    }

    pub(super) fn tell_entries(&self, agent: &Process) {
        if !self.entries.is_empty() {
            let entries = self.entries.iter().cloned().collect();
            send(&self.links, agent, Message::Entries(entries));
        }
    }

    pub(super) fn beat_entries(&mut self, now: Duration) {
        if now < self.beat + timing::BEAT {
            return;
        }
        self.beat = now;
        let version = self.version();
        let entries = self
            .links
            .all()
            .filter(|link| link.peer.role == Role::Entry);
        for link in entries {
            let message = Message::EntryBeat {
                echo: 0,
                version,
                ask: None,
            };
            // A link that does not take it is about to end.
            let _ = link.send(Frame::Transient(message));
        }
    }

    /// Takes what has changed in the directory of entries and passes it on to agents.
    pub(super) fn direct(&mut self, update: &directory::Update) {
        if !matches!(self.mesh.direct(update), Taken::Changed { .. }) {
            return;
        }
        // An agent that lacks what came before asks for all of it.
        let news = if update.since == 0 {
            self.mesh.directory().version()
        } else {
            update.clone()
        };
        for agent in self.scheduler.linked() {
            send(&self.links, agent, Message::Directory(news.clone()));
        }
    }
}
