//! Errors that keep an entry from starting.

use std::net::SocketAddr;

/// Why an entry could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peers' listener could not be opened; see the inner error.
    #[error(transparent)]
    Peer(#[from] cassiarock_peer::Error),
    /// The operators' listener could not be opened; see the inner error.
    #[error(transparent)]
    Monitor(#[from] cassiarock_process::Error),
    /// The log's client could not be set up: correct `log` in the settings.
    #[error(transparent)]
    Log(#[from] cassiarock_platform::Error),
    /// The callers' address is in use or does not belong to this VM: correct `callers` in the settings.
    #[error("listen on {address} for callers: {source}")]
    Callers {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}
