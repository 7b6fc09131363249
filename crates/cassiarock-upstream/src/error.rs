//! Errors of calls to the worker.

/// Why a control call to the worker failed. Runs return an [`Outcome`](crate::Outcome)
/// instead, because it matters there whether the task may have started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The HTTP client could not be set up. The cause is the base URL or the system's TLS or
    /// network configuration; correct the setting that the message names.
    #[error("setting up the client for the worker at {peer}: {reason}")]
    Setup {
        /// The worker's base URL.
        peer: String,
        /// The library's message.
        reason: String,
    },
    /// The worker did not answer a control call in time, or its answer does not follow
    /// the protocol. The health check counts this as a failure; see the worker's own log.
    #[error("{step} at the worker at {peer}: {reason}")]
    Call {
        /// Which call.
        step: &'static str,
        /// The worker's base URL.
        peer: String,
        /// The library's message.
        reason: String,
    },
}
