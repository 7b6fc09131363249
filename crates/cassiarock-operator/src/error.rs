//! Errors of the client.

use crate::Exit;

/// Why a command failed, with the step and the peer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings of the client are wrong. The text names file, field and remedy.
    #[error(transparent)]
    Settings(#[from] cassiarock_settings::Error),
    /// A scenario is wrong. The text names file, field and remedy.
    #[error(transparent)]
    Scenario(#[from] cassiarock_lab::Error),
    /// An input file or argument is wrong. Correct it as the reason says.
    #[error("{input}: {reason}")]
    Input {
        /// The file or argument.
        input: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The HTTP client could not be set up; the system lacks something it needs.
    #[error("set up the HTTP client: {reason}")]
    HttpClient {
        /// What the library said.
        reason: String,
    },
    /// A peer could not be reached, and nothing was done. Check the address in the
    /// settings and whether the peer runs, then repeat the command.
    #[error("{step}: {peer} is out of reach: {reason}")]
    Unreachable {
        /// What the client was doing.
        step: &'static str,
        /// The address of the peer.
        peer: String,
        /// The reason given by the connection.
        reason: String,
    },
    /// A peer sent a response that the client cannot parse. Check that the address
    /// belongs to the expected role and that the versions are compatible.
    #[error("{step}: {peer} sent an invalid response: {reason}")]
    InvalidResponse {
        /// What the client was doing.
        step: &'static str,
        /// The address of the peer.
        peer: String,
        /// What is wrong with the response.
        reason: String,
    },
    /// Another change was accepted first. Look at it, and repeat the command if it is
    /// still wanted.
    #[error("{step}: conflict: {reason}")]
    Conflict {
        /// What the client was doing.
        step: &'static str,
        /// What came first.
        reason: String,
    },
    /// The change or request is not allowed as it stands. Nothing was done.
    #[error("{step}: refused: {reason}")]
    Refused {
        /// What the client was doing.
        step: &'static str,
        /// Why.
        reason: String,
    },
    /// It is not known whether the change or job took effect. Look at the status, and
    /// repeat only what is not there.
    #[error("{step}: it is unknown whether it took effect: {reason}")]
    Unsettled {
        /// What the client was doing.
        step: &'static str,
        /// Why.
        reason: String,
    },
    /// The named thing does not exist. List what there is, and use its exact name.
    #[error("{step}: there is no {what}")]
    NotFound {
        /// What the client was doing.
        step: &'static str,
        /// The kind and name of the missing thing.
        what: String,
    },
}

impl Error {
    /// Returns how a command that fails with this error exits.
    ///
    /// ```
    /// use cassiarock_operator::{Error, Exit};
    /// let error = Error::NotFound { step: "move the rule", what: "rule `payments`".to_owned() };
    /// assert_eq!(error.exit(), Exit::NotFound);
    /// ```
    #[must_use]
    pub const fn exit(&self) -> Exit {
        match self {
            Self::Settings(_) | Self::Scenario(_) | Self::Input { .. } => Exit::Usage,
            Self::HttpClient { .. } | Self::Unreachable { .. } | Self::InvalidResponse { .. } => {
                Exit::Unreachable
            }
            Self::Conflict { .. } => Exit::Conflict,
            Self::Refused { .. } => Exit::Refused,
            Self::Unsettled { .. } => Exit::Failed,
            Self::NotFound { .. } => Exit::NotFound,
        }
    }
}
