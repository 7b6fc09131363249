//! Applies the operators' orders at an entry and sends them to other processes.

use super::Entry;
use crate::compression::compress;
use crate::links::send;
use crate::operator::{Update, ignore_configuration};
use cassiarock_adapter::configuration;
use cassiarock_id::{Name, Process, Wall};
use cassiarock_transient::{Message, evacuation};
use std::io;
use std::time::Duration;

/// The configuration in force, as it is sent to other entries.
#[derive(Debug)]
pub(crate) struct Configuration {
    version: u64,
    text: Name,
    /// The compressed text, once another entry has asked for it.
    compressed: Option<Vec<u8>>,
}

impl Configuration {
    const fn new(version: u64, text: Name) -> Self {
        Self {
            version,
            text,
            compressed: None,
        }
    }

    /// The message with this configuration. The text is compressed only once, because that takes
    /// some milliseconds.
    pub(super) fn message(&mut self) -> io::Result<Message> {
        let compressed = match self.compressed.take() {
            Some(compressed) => compressed,
            None => compress(&self.text)?,
        };
        self.compressed = Some(compressed.clone());
        Ok(Message::Configuration {
            version: self.version,
            packed: compressed,
        })
    }
}

impl Entry {
    /// Applies an update that was read from the store. The route table of a configuration is in force
    /// already.
    pub(super) fn handle_update(&mut self, update: &Update) {
        match update {
            Update::Configuration(version, text) => self.set_configuration(*version, text),
            Update::Evacuations(state) => self.apply_evacuations(state, "the store"),
        }
    }

    /// Applies the copy of a configuration that the entry `from` sent. `age` is the time since it was
    /// asked for.
    pub(super) fn apply_copy(&mut self, from: &Process, text: &Name, age: Duration) {
        match configuration::decode(text) {
            Ok(table) => {
                let version = table.version;
                let unproved = self.freshness.age();
                self.table.adopt(table, "another entry", age, unproved);
                self.set_configuration(version, text);
            }
            Err(error) => ignore_configuration("another entry", from, &error),
        }
    }

    fn set_configuration(&mut self, version: u64, text: &Name) {
        if version <= self.version() {
            return;
        }
        self.scheduler.set_version(version);
        self.configuration = Some(Configuration::new(version, text.clone()));
        self.lag.reset();
    }

    /// The version of the configuration that this entry can send to others; 0 if there is none.
    pub(super) fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |known| known.version)
    }

    /// Sends the configuration in force to another entry.
    pub(super) fn send_configuration(&mut self, to: &Process) {
        match self.configuration.as_mut().map(Configuration::message) {
            Some(Ok(message)) => send(&self.links, to, message),
            Some(Err(error)) => log::warn!(to:% = to; "cannot send the configuration: {error}"),
            None => {}
        }
    }

    /// Applies the operators' orders to evacuate data centres if they are newer than the known ones,
    /// and sends them to all peers: to entries that may not reach the store, and to agents, which do
    /// not follow the operators' topic.
    pub(super) fn apply_evacuations(&mut self, state: &evacuation::State, from: &'static str) {
        let mut evacuations = self.scheduler.evacuations().clone();
        let Some(change) = evacuations.adopt(state) else {
            return;
        };
        let count = evacuations.data_centres().count();
        metrics::gauge!("cassiarock_data_centres_evacuated").set(count as f64);
        self.scheduler.set_evacuations(evacuations);
        if change.is_empty() {
            return;
        }
        for data_centre in &change.ended {
            self.evacuated_since.remove(data_centre);
        }
        let begun = change
            .begun
            .iter()
            .map(|data_centre| (data_centre.clone(), Wall::now()));
        self.evacuated_since.extend(begun);
        log::info!(begun:? = change.begun, ended:? = change.ended, offset = state.next_offset(), from = from; "evacuations");
        for link in self.links.all() {
            self.send_evacuations(&link.peer.process);
        }
    }

    /// Sends a peer the data centres to evacuate, if this entry knows them.
    pub(super) fn send_evacuations(&self, peer: &Process) {
        let known = self.scheduler.evacuations();
        if known.next_offset() > 0 {
            send(&self.links, peer, Message::Evacuations(known.clone()));
        }
    }
}
