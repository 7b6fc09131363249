//! Errors that keep a process from starting or end it.

/// A listener or a client could not be set up, or a part of the process has ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An error of the platform's settings, clients or listeners.
    #[error(transparent)]
    Platform(#[from] cassiarock_adapter::Error),
    /// An error of the links between Cassiarock's own processes.
    #[error(transparent)]
    Links(#[from] cassiarock_peer::Error),
    /// The settings lack an address that this role needs. Assign the role to a class of VMs whose
    /// settings contain the address, and let the role serve it.
    #[error("the settings contain no address for {0}")]
    MissingAddress(&'static str),
    /// A part of the process has ended.
    #[error(transparent)]
    Part(#[from] cassiarock_process::Fault),
}
