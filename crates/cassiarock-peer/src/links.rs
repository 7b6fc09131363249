//! The open links of one process, by peer.

use crate::Link;
use cassiarock_id::Process;
use cassiarock_wire::{Frame, Hello};
use std::collections::HashMap;
use std::sync::Arc;

/// All open links. A peer may have two for a while: a silent one that has not been found
/// dead yet beside its replacement, or two that both sides dialled at once.
#[derive(Debug, Default)]
pub struct Links {
    links: HashMap<Process, Vec<Link>>,
}

impl Links {
    /// No links.
    ///
    /// ```
    /// assert_eq!(cassiarock_peer::Links::new().len(), 0);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A link opened; frames go over it from now on.
    pub fn open(&mut self, link: Link) {
        let process = link.peer.process.clone();
        self.links.entry(process).or_default().push(link);
    }

    /// The link `serial` with `peer` is gone. True if it was the last one.
    pub fn close(&mut self, peer: &Process, serial: u64) -> bool {
        let Some(links) = self.links.get_mut(peer) else {
            return false;
        };
        links.retain(|link| link.serial != serial);
        let last = links.is_empty();
        if last {
            self.links.remove(peer);
        }
        last
    }

    /// Queues a frame on the newest link. False if there is none or its peer does not read.
    #[must_use]
    pub fn send(&self, peer: &Process, frame: Frame) -> bool {
        self.newest(peer).is_some_and(|link| link.send(frame))
    }

    /// Whether a frame from `peer` came over its newest link.
    #[must_use]
    pub fn is_newest(&self, peer: &Arc<Hello>) -> bool {
        let newest = self.newest(&peer.process);
        newest.is_some_and(|link| Arc::ptr_eq(&link.peer, peer))
    }

    fn newest(&self, peer: &Process) -> Option<&Link> {
        self.links.get(peer).and_then(|links| links.last())
    }

    /// All links, older ones too: one that is never spoken on is taken for dead.
    pub fn all(&self) -> impl Iterator<Item = &Link> {
        self.links.values().flatten()
    }

    /// Whether there is a link with `peer`.
    #[must_use]
    pub fn contains(&self, peer: &Process) -> bool {
        self.links.contains_key(peer)
    }

    /// The linked processes.
    pub fn peers(&self) -> impl Iterator<Item = &Process> {
        self.links.keys()
    }

    /// How many processes are linked.
    #[must_use]
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether none is linked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}
