//! Errors of the log's client.

use cassiarock_rule::record::Id;
use std::sync::Arc;

/// An error of the log or of its client.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A call failed. Unless [`Error::is_without_effect`], an append may have taken effect or
    /// may yet: read the log back for the record's id before reporting a failure.
    #[error(transparent)]
    Call(#[from] cassiarock_adapter::Error),
    /// The log ends before what was already read from it: it lost records, or is another log.
    /// The state is kept. Point the settings at the right log, or publish on a new one.
    #[error("the log at {peer} ends at {end}, before {next}, which was already read")]
    Regressed {
        /// The log.
        peer: Arc<str>,
        /// Its end.
        end: u64,
        /// The offset to read next.
        next: u64,
    },
    /// Retention deleted records that were never read here, and the log holds no snapshot that covers
    /// them. Running processes still serve their state and append snapshots;
    /// wait for one, ask a process, or restore.
    #[error("the log at {peer} was cut, and no usable snapshot is on it")]
    Cut {
        /// The log.
        peer: Arc<str>,
    },
    /// The record may be on the log, or may still be appended. Look for its id later; to retry,
    /// append the same record instead of publishing the change as a new one.
    #[error("record {id} may count or not: {source}")]
    Unsettled {
        /// The record's id.
        id: Id,
        /// The error that left the result unknown.
        source: Box<Self>,
    },
    /// The client of the HTTP library could not be made; the system lacks something it needs.
    #[error("no HTTP client: {0}")]
    Client(reqwest::Error),
    /// A record could not be written as bytes.
    #[error(transparent)]
    Record(#[from] cassiarock_rule::record::Error),
}

impl Error {
    /// Whether the call surely had no effect.
    #[must_use]
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::Call(error) => error.is_without_effect(),
            Self::Client(_) | Self::Record(_) => true,
            _ => false,
        }
    }
}
