//! The open links of one process, by peer.

use crate::Link;
use cassiarock_id::Process;
use cassiarock_wire::{Frame, Hello};
use std::collections::HashMap;
use std::sync::Arc;

/// All open links. A peer may have two for a while: a dead one that has not timed out yet beside
/// its replacement, or two that both sides dialled at once.
#[derive(Debug, Default)]
pub struct Links {
    links: HashMap<Process, Vec<Link>>,
}

impl Links {
    /// Creates an empty set of links.
    ///
    /// ```
    /// assert_eq!(cassiarock_peer::Links::new().len(), 0);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a link that has opened. Frames to its peer go over it from now on.
    pub fn open(&mut self, link: Link) {
        let process = link.peer.process.clone();
        self.links.entry(process).or_default().push(link);
    }

    /// Removes the link `serial` with `peer`. Returns true if the peer had no other.
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

    /// Queues a frame on the newest link. Returns false if there is none or its queue
    /// is full.
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

    /// All links, older ones too: the peer closes a link on which it receives no heartbeats.
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

    /// The number of linked processes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether no process is linked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}
