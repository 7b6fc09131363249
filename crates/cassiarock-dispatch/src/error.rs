//! Why a process could not start or go on.

/// A listener or a client could not be set up, or a part of the process is gone.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform's side.
    #[error(transparent)]
    Platform(#[from] cassiarock_adapter::Error),
    /// The links between the system's own processes.
    #[error(transparent)]
    Links(#[from] cassiarock_peer::Error),
    /// The settings lack an address that this role needs: give the role to machines of the
    /// class that has it, and let the role serve it.
    #[error("the settings name no address for {0}")]
    MissingAddress(&'static str),
    /// A part of the process is gone.
    #[error(transparent)]
    Part(#[from] cassiarock_process::Fault),
}
