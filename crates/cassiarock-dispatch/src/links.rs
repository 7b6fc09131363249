//! The times of links, and messages over them.

use cassiarock_id::Process;
use cassiarock_peer::{Links, Tempo};
use cassiarock_transient::{Message, timing};
use cassiarock_wire::Frame;
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
        silence: timing::LINK_TIMEOUT,
        connect: CONNECT,
        handshake: HANDSHAKE,
        pause: PAUSE,
        patience: PATIENCE,
        rest: REST,
    }
}

/// Sends a message over the newest link with `to`; one that cannot be sent is counted.
pub(crate) fn send(links: &Links, to: &Process, message: Message) {
    if !links.send(to, Frame::Transient(message)) {
        metrics::counter!("cassiarock_unsent_messages_total").increment(1);
    }
}
