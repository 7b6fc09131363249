//! The open links with each peer.

use cassiarock_id::Process;
use cassiarock_peer::{Link, Tempo};
use cassiarock_transient::{Message, timing};
use cassiarock_wire::{Frame, Hello};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The longest pause before a peer is dialled again: a restarted entry has its agents back
/// within two of them.
const PAUSE: Duration = Duration::from_millis(250);

/// How long a step of a handshake may take on a busy VM.
const HANDSHAKE: Duration = Duration::from_millis(500);

/// When the opening of a connection is sent again. Within a region it is answered within
/// 10 ms; an answer that takes longer than this still counts.
const CONNECT: Duration = Duration::from_millis(100);

/// A peer that has been away for this long has probably been replaced at another address; one
/// that returns later announces itself.
const PATIENCE: Duration = Duration::from_secs(20);

/// The longest pause from then on: 40 addresses of former entries cost an agent 20 dials a
/// second, as many as two that have just gone.
const REST: Duration = Duration::from_secs(2);

/// The tempo of links that carry tasks of a tenth of a second.
pub(crate) const fn tempo() -> Tempo {
    Tempo {
        silence: timing::SILENCE,
        connect: CONNECT,
        handshake: HANDSHAKE,
        pause: PAUSE,
        patience: PATIENCE,
        rest: REST,
    }
}

/// The open links with each process, the newest last. Two processes that dial each other have
/// two; what goes to one peer goes over its newest link.
#[derive(Debug, Default)]
pub(crate) struct Links(HashMap<Process, Vec<Link>>);

impl Links {
    pub(crate) fn open(&mut self, link: Link) {
        let process = link.peer.process.clone();
        self.0.entry(process).or_default().push(link);
    }

    /// Whether a frame from `peer` came over its newest link.
    pub(crate) fn is_newest(&self, peer: &Arc<Hello>) -> bool {
        let newest = self.0.get(&peer.process).and_then(|links| links.last());
        newest.is_some_and(|link| Arc::ptr_eq(&link.peer, peer))
    }

    /// A link is gone. Whether it was the last one.
    pub(crate) fn close(&mut self, peer: &Hello, serial: u64) -> bool {
        let Some(links) = self.0.get_mut(&peer.process) else {
            return false;
        };
        links.retain(|link| link.serial != serial);
        let is_last = links.is_empty();
        if is_last {
            self.0.remove(&peer.process);
        }
        is_last
    }

    pub(crate) fn send(&self, to: &Process, message: Message) {
        let newest = self.0.get(to).and_then(|links| links.last());
        let is_sent = newest.is_some_and(|link| link.send(Frame::Transient(message)));
        if !is_sent {
            metrics::counter!("cassiarock_unsent_messages_total").increment(1);
        }
    }

    /// All links, older ones too: one that is never spoken on is taken for dead.
    pub(crate) fn links(&self) -> impl Iterator<Item = &Link> {
        self.0.values().flatten()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
