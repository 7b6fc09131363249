//! The reasons why a link could not be opened, or ended.

use cassiarock_wire::{Hello, Role};
use std::net::SocketAddr;

/// A failure of a link, with the step and the peer's address.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The listening address could not be bound. Another process holds it, or the VM
    /// does not have it: correct `peers` in the settings.
    #[error("listen on {address} for peers: {source}")]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The peer could not be reached. It is dialled again after a pause.
    #[error("dial {peer}: {source}")]
    Dial {
        /// The peer's address.
        peer: SocketAddr,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The websocket failed. The link is opened again after a pause.
    #[error("{step} with {peer}: {reason}")]
    Socket {
        /// The step that failed.
        step: &'static str,
        /// The peer's address.
        peer: SocketAddr,
        /// The library's reason.
        reason: String,
    },
    /// The peer sent something other than a hello, or none in time. It is not a process of
    /// this system, or a device on the path has dropped the connection.
    #[error("handshake with {peer}: {reason}")]
    Handshake {
        /// The peer's address.
        peer: SocketAddr,
        /// What was wrong.
        reason: &'static str,
    },
    /// The peer does not know the shared key. Give both the same `key` in the settings.
    #[error("handshake with {peer}: {name} does not know the shared key; turned away")]
    WrongKey {
        /// The peer's address.
        peer: SocketAddr,
        /// The process that it claims to be.
        name: String,
    },
    /// The peer speaks another version. Finish the rolling upgrade.
    #[error("handshake with {peer}: it speaks version {theirs}, this process {ours}", ours = Hello::VERSION)]
    Version {
        /// The peer's address.
        peer: SocketAddr,
        /// Its version.
        theirs: u16,
    },
    /// The process at the address is not the one that was dialled: it was replaced. The
    /// membership names the new one as soon as it is read.
    #[error("handshake with {peer}: dialled {wanted}, found {found} ({role:?})")]
    UnexpectedPeer {
        /// The peer's address.
        peer: SocketAddr,
        /// The process that was dialled.
        wanted: String,
        /// The process that answered.
        found: String,
        /// The role of the process that answered.
        role: Role,
    },
    /// Nothing was received, or a write made no progress, for `LinkTiming::idle_timeout`. The
    /// connection is open but dead and is replaced.
    #[error("link with {peer}: silent")]
    TimedOut {
        /// The peer's address.
        peer: SocketAddr,
    },
    /// The peer closed the link.
    #[error("link with {peer}: closed")]
    Closed {
        /// The peer's address.
        peer: SocketAddr,
    },
}
