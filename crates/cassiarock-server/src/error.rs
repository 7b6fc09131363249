//! Why a request body was not received.

use std::time::Duration;

/// Why a request body was not received. Nothing of the request has been carried out.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is too large. Send less, or raise the limit.
    #[error("the request body is over {limit} bytes")]
    Oversized {
        /// The limit in bytes.
        limit: usize,
    },
    /// No data of the body arrived for too long. Send bodies without pauses.
    #[error("no data of the request body for {limit:?}")]
    Stalled {
        /// The time allowed between two pieces.
        limit: Duration,
    },
    /// The whole body took too long. Look at the network between the client and the process.
    #[error("the request body did not arrive within {limit:?}")]
    Slow {
        /// The time allowed for the whole body.
        limit: Duration,
    },
    /// The bodies of all requests hold the memory that they may. Send the request again later.
    #[error("the request bodies of all clients hold the {limit} bytes that they may")]
    Full {
        /// The bytes that all bodies may keep.
        limit: usize,
    },
    /// The connection broke, or was closed to make room, or the encoding is malformed.
    #[error("cannot read the request body: {0}")]
    Broken(#[source] axum::Error),
}

impl Error {
    /// The value of the `reason` label in metrics.
    pub(crate) const fn label(&self) -> &'static str {
        match self {
            Self::Oversized { .. } => "oversized",
            Self::Stalled { .. } => "stalled",
            Self::Slow { .. } => "slow",
            Self::Full { .. } => "full",
            Self::Broken(_) => "broken",
        }
    }
}
