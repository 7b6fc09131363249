//! Errors of requests that fail their checks.

use axum::http::StatusCode;
use std::time::Duration;

/// An error in a request from a caller. The request started nothing.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The body is not JSON or has not the documented shape. Send it as
    /// docs/CALLER-API.md shows; the field and the reason say where it differs.
    #[error("the request body from the caller does not fit at `{field}`: {reason}")]
    Body {
        /// The path of the field, `.` for the whole body.
        field: String,
        /// What the parser found.
        reason: String,
    },
    /// A field has a value that is not allowed. Correct it as the reason says.
    #[error("the caller's `{field}` is not allowed: {reason}")]
    Field {
        /// The path of the field.
        field: String,
        /// What is allowed.
        reason: String,
    },
    /// The body is larger than the setting allows. Send fewer tasks or smaller payloads.
    #[error("the request body from the caller is over the limit of {limit} bytes")]
    Oversized {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body did not arrive in time. Send it at once after the headers; look at the
    /// network between the caller and the entry.
    #[error("the request body from the caller did not arrive within {limit:?}")]
    Slow {
        /// The time allowed.
        limit: Duration,
    },
    /// The bodies of all requests hold the memory that they may. Send the request again later.
    #[error(
        "the request bodies of all callers hold the {limit} bytes that they may, not started by this submission"
    )]
    Full {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body is not encoded as its headers say. Correct its `Transfer-Encoding`.
    #[error("the request body from the caller is not encoded as its headers say: {reason}")]
    Encoding {
        /// The library's message.
        reason: String,
    },
    /// The connection broke or the entry shut down while the body was read. Send the request
    /// again.
    #[error("reading the request body from the caller, not started by this submission: {reason}")]
    Broken {
        /// The library's message.
        reason: String,
    },
}

impl Error {
    /// A value that is not allowed.
    pub(crate) fn field(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self::Field {
            field: field.into(),
            reason: reason.into(),
        }
    }

    /// The offending part of the request.
    pub(crate) fn place(&self) -> &str {
        match self {
            Self::Body { field, .. } | Self::Field { field, .. } => field,
            Self::Oversized { .. }
            | Self::Slow { .. }
            | Self::Full { .. }
            | Self::Encoding { .. }
            | Self::Broken { .. } => "body",
        }
    }

    /// The HTTP status for it.
    pub(crate) const fn status(&self) -> StatusCode {
        match self {
            Self::Body { .. } | Self::Encoding { .. } => StatusCode::BAD_REQUEST,
            Self::Field { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Oversized { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::Full { .. } | Self::Broken { .. } => StatusCode::TOO_MANY_REQUESTS,
        }
    }
}
