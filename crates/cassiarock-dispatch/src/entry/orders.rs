//! Operators' orders in force at an entry, and how they are passed on.

use super::Entry;
use crate::compression::compress;
use crate::links::send;
use cassiarock_adapter::configuration;
use cassiarock_id::{Name, Process, Wall};
use cassiarock_transient::{Message, evacuation};
use std::io;
use std::sync::Arc;

/// A configuration to pass on.
#[derive(Debug)]
pub(crate) struct Configuration {
    version: u64,
    text: Name,
    /// The same packed, once somebody has asked for it.
    packed: Option<Vec<u8>>,
}

impl Configuration {
    const fn new(version: u64, text: Name) -> Self {
        Self {
            version,
            text,
            packed: None,
        }
    }

    /// The message that passes it on. Packing takes some milliseconds, so it is done once.
    pub(super) fn message(&mut self) -> io::Result<Message> {
        let packed = match self.packed.take() {
            Some(packed) => packed,
            None => compress(&self.text)?,
        };
        self.packed = Some(packed.clone());
        Ok(Message::Configuration {
            version: self.version,
            packed,
        })
    }
}

impl Entry {
    /// Takes a configuration if it is newer than the one in force.
    pub(super) fn configure(&mut self, text: &Name, from: &'static str) {
        let table = match configuration::decode(text) {
            Ok(table) => table,
            Err(error) => {
                log::warn!(from = from; "configuration left out: {error}");
                return;
            }
        };
        if table.version <= self.version() {
            return;
        }
        log::info!(version = table.version, before = self.version(), routes = table.len(), from = from; "configuration in force");
        metrics::gauge!("cassiarock_configuration_version").set(table.version as f64);
        self.scheduler.adopt(table.version);
        self.configuration = Some(Configuration::new(table.version, text.clone()));
        self.lag.adopt();
        self.table.send_replace(Some(Arc::new(table)));
    }

    pub(super) fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |known| known.version)
    }

    /// Sends the configuration in force to another entry.
    pub(super) fn pass_on(&mut self, to: &Process) {
        match self.configuration.as_mut().map(Configuration::message) {
            Some(Ok(message)) => send(&self.links, to, message),
            Some(Err(error)) => log::warn!(to:% = to; "configuration not passed on: {error}"),
            None => {}
        }
    }

    /// Takes operators' orders to empty data centres if they are newer than those known, and
    /// passes them on: to entries that the store turns away, and to agents, which follow no
    /// topic of operators.
    pub(super) fn evacuate(&mut self, state: &evacuation::State, from: &'static str) {
        let mut evacuations = self.scheduler.evacuations().clone();
        let Some(change) = evacuations.adopt(state) else {
            return;
        };
        let count = evacuations.data_centres().count();
        metrics::gauge!("cassiarock_data_centres_evacuated").set(count as f64);
        self.scheduler.evacuate(evacuations);
        if change.is_empty() {
            return;
        }
        for data_centre in &change.ended {
            self.evacuated.remove(data_centre);
        }
        let begun = change
            .begun
            .iter()
            .map(|place| (place.clone(), Wall::now()));
        self.evacuated.extend(begun);
        log::info!(begun:? = change.begun, ended:? = change.ended, offset = state.next(), from = from; "evacuations");
        for link in self.links.all() {
            self.tell_evacuations(&link.peer.process);
        }
    }

    /// Tells a peer which data centres are to be empty, if that is known here.
    pub(super) fn tell_evacuations(&self, peer: &Process) {
        let known = self.scheduler.evacuations();
        if known.next() > 0 {
            send(&self.links, peer, Message::Evacuations(known.clone()));
        }
    }
}
