//! Handles the links of an entry with agents and with other entries.

use super::Entry;
use crate::compression::decompress;
use crate::links::count_orders;
use crate::links::send;
use crate::operator::ignore_configuration;
use cassiarock_id::Process;
use cassiarock_peer::Event;
use cassiarock_transient::directory::{ApplyResult, Endpoint};
use cassiarock_transient::scheduler::Action;
use cassiarock_transient::{Message, directory, timing};
use cassiarock_wire::{Frame, Hello, Role};
use std::time::Duration;

/// Most entries whose addresses are sent to agents. The service is designed for some 600 entries.
const MAX_ENTRIES: usize = 4_096;

impl Entry {
    pub(super) fn handle_event(&mut self, event: Event, now: Duration) -> Vec<Action> {
        match event {
            Event::Up(link) => {
                let peer = link.peer.clone();
                log::info!(dependency:% = peer.process, role:? = peer.role; "link opened");
                self.mesh.link_opened(&link);
                self.links.open(link);
                self.send_evacuations(&peer.process);
                match peer.role {
                    Role::Agent => {
                        self.scheduler.link(&peer.process, &peer.data_centre, now);
                        self.send_entries(&peer.process);
                        let version = Message::Directory(self.mesh.directory().empty_update());
                        send(&self.links, &peer.process, version);
                    }
                    Role::Entry => self.add_entry(&peer),
                }
                Vec::new()
            }
            // An agent tells over each link what it holds. A list that an older link brings late does
            // not know of orders that went over the newest one.
            Event::Frame(peer, Frame::Transient(Message::Held(_)))
                if !self.links.is_newest(&peer) =>
            {
                Vec::new()
            }
            // Other messages over an older link count as well: two entries that dial each other at once
            // may disagree on which link is the newer one. Messages of agents are matched by
            // attempt.
            Event::Frame(peer, Frame::Transient(message)) => {
                count_orders(&message);
                self.handle_message(&peer, message, now)
            }
            Event::Frame(..) => Vec::new(),
            Event::Down(peer, serial) => {
                self.mesh.link_closed(serial, now);
                if self.links.close(&peer.process, serial) {
                    log::warn!(dependency:% = peer.process, role:? = peer.role; "link lost");
                    self.scheduler.unlink(&peer.process);
                    self.lag.link_lost(&peer.process);
                    self.clocks.forget(&peer.process);
                    // Linked agents have its address; new ones get it when the entry links again.
                    let place = Endpoint::new(peer.address.clone(), peer.data_centre.clone());
                    self.entries.remove(&place);
                }
                Vec::new()
            }
        }
    }

    pub(super) fn handle_message(
        &mut self,
        peer: &Hello,
        message: Message,
        now: Duration,
    ) -> Vec<Action> {
        match (peer.role, message) {
            (
                Role::Entry,
                Message::EntryHeartbeat {
                    version, freshness, ..
                },
            ) => {
                if let Some(report) = freshness {
                    self.clocks.record(&peer.process, report.clock_ms, now);
                    if version == self.table.version() {
                        self.freshness.record_report(report, now);
                    }
                }
                let is_sending = self.store.is_receiving();
                let before = self.table.version();
                self.missing.record(&peer.process, version, before, now);
                if version > before && self.lag.should_ask(&peer.process, is_sending, now) {
                    log::info!(dependency:% = peer.process, version = version, before = before; "configuration asked for");
                    send(&self.links, &peer.process, Message::AskConfiguration);
                    self.freshness.record_missed();
                }
                Vec::new()
            }
            (Role::Entry, Message::AskConfiguration) => {
                self.send_configuration(&peer.process);
                Vec::new()
            }
            (Role::Entry, Message::Configuration { packed, .. }) => {
                match decompress(&packed) {
                    Ok(text) => {
                        let asked_at = self.lag.asked_at().unwrap_or(now);
                        let age = now.saturating_sub(asked_at);
                        self.apply_copy(&peer.process, &text, age);
                    }
                    Err(error) => ignore_configuration("another entry", &peer.process, &error),
                }
                Vec::new()
            }
            (Role::Agent, Message::AskDirectory) => {
                let all = Message::Directory(self.mesh.directory().full_update());
                send(&self.links, &peer.process, all);
                Vec::new()
            }
            (Role::Entry, Message::Evacuations(state)) => {
                self.apply_evacuations(&state, "another entry");
                Vec::new()
            }
            (_, message) => self.scheduler.handle_message(&peer.process, message, now),
        }
    }

    /// Sends the address of a newly linked entry to all agents. An entry that cannot reach the store
    /// becomes known to agents only this way.
    pub(super) fn add_entry(&mut self, peer: &Hello) {
        let place = Endpoint::new(peer.address.clone(), peer.data_centre.clone());
        if self.entries.len() < MAX_ENTRIES && self.entries.insert(place.clone()) {
            // Sends only the new entry: sending the whole list to all agents would take 100 MB with
            // 600 entries.
            let added = vec![place];
            for agent in self.scheduler.linked_agents() {
                send(&self.links, agent, Message::Entries(added.clone()));
            }
        }
    }

    /// Sends the addresses of the linked entries to an agent.
    pub(super) fn send_entries(&self, agent: &Process) {
        if !self.entries.is_empty() {
            let entries = self.entries.iter().cloned().collect();
            send(&self.links, agent, Message::Entries(entries));
        }
    }

    /// Sends a heartbeat to all linked entries if one is due.
    pub(super) fn send_heartbeats(&mut self, now: Duration) {
        if now < self.last_heartbeat + timing::HEARTBEAT_INTERVAL {
            return;
        }
        self.last_heartbeat = now;
        let version = self.version();
        // A newer version that waits for the actor is not reported yet, nor is its freshness.
        let is_current = version == self.table.version();
        let freshness = self.freshness.report().filter(|_| is_current);
        let entries = self
            .links
            .all()
            .filter(|link| link.peer.role == Role::Entry);
        for link in entries {
            let stamp = |report| self.clocks.stamp(report, &link.peer.process, now);
            let message = Message::EntryHeartbeat {
                echo: 0,
                version,
                ask: None,
                freshness: freshness.map(stamp),
            };
            // A link that does not accept it is about to close.
            let _ = link.send(Frame::Transient(message));
        }
    }

    /// Applies an update of the directory of entries and sends it to all agents.
    pub(super) fn update_directory(&mut self, update: &directory::Update) {
        if !matches!(self.mesh.apply_update(update), ApplyResult::Changed { .. }) {
            return;
        }
        // An agent that lacks earlier updates asks for the whole directory.
        let update = if update.since == 0 {
            self.mesh.directory().empty_update()
        } else {
            update.clone()
        };
        for agent in self.scheduler.linked_agents() {
            send(&self.links, agent, Message::Directory(update.clone()));
        }
    }
}
