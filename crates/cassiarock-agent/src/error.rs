//! Errors that keep an agent from starting.

/// Why an agent could not start.
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
    /// The upstream's client could not be set up: correct `worker` in the settings.
    #[error(transparent)]
    Worker(#[from] cassiarock_upstream::Error),
}
