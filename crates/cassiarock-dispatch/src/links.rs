//! The newest link with each peer.

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

/// The tempo of links that carry tasks of a tenth of a second.
pub(crate) const fn tempo() -> Tempo {
    Tempo {
        silence: timing::SILENCE,
        handshake: HANDSHAKE,
        pause: PAUSE,
    }
}

/// The newest link with each process. Of an older one nothing is taken any more: its frames
/// may have waited in a socket that both sides have given up.
#[derive(Debug, Default)]
pub(crate) struct Newest(HashMap<Process, Link>);

impl Newest {
    pub(crate) fn open(&mut self, link: Link) {
        self.0.insert(link.peer.process.clone(), link);
    }

    /// Whether a frame from `peer` came over its newest link.
    pub(crate) fn is_newest(&self, peer: &Arc<Hello>) -> bool {
        let link = self.0.get(&peer.process);
        link.is_some_and(|link| Arc::ptr_eq(&link.peer, peer))
    }

    /// A link is gone. Whether it was the newest one.
    pub(crate) fn close(&mut self, peer: &Hello, serial: u64) -> bool {
        let is_newest = self
            .0
            .get(&peer.process)
            .is_some_and(|link| link.serial == serial);
        if is_newest {
            self.0.remove(&peer.process);
        }
        is_newest
    }

    pub(crate) fn send(&self, to: &Process, message: Message) {
        let link = self.0.get(to);
        let is_sent = link.is_some_and(|link| link.send(Frame::Transient(message)));
        if !is_sent {
            metrics::counter!("cassiarock_unsent_messages_total").increment(1);
        }
    }

    pub(crate) fn links(&self) -> impl Iterator<Item = &Link> {
        self.0.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
