//! Turns the answer or error of a run into its outcome.

use crate::protocol::RunAnswer;
use crate::{Outcome, Run};
use reqwest::Response;

/// Why a run has no complete answer.
pub(crate) enum RequestError {
    /// The request was not sent.
    Unsent(String),
    /// The request may have been sent.
    Sent(String),
}

/// Tells whether the request may have been sent. Nothing was sent on a connection that was
/// refused or timed out while connecting; after any other error the request may have been sent.
pub(crate) fn classify(error: &reqwest::Error) -> RequestError {
    if error.is_connect() {
        RequestError::Unsent(error_chain(error))
    } else {
        RequestError::Sent(error_chain(error))
    }
}

/// Reads the complete body. A body over `limit` bytes is an error, because it would exhaust the
/// process's memory.
pub(crate) async fn read_body(mut response: Response, limit: usize) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    while let Some(chunk) = response
        .chunk()
        .await
        .map_err(|error| error_chain(&error))?
    {
        if bytes.len() + chunk.len() > limit {
            return Err(format!("the answer is over {limit} bytes"));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}

/// Decodes the answer to `run`. The outcome is lost if the answer is invalid or belongs to
/// another run.
pub(crate) fn decode_outcome(run: &Run, bytes: &[u8]) -> Outcome {
    let answer: RunAnswer = match serde_json::from_slice(bytes) {
        Ok(answer) => answer,
        Err(error) => return Outcome::Lost(format!("the answer is not valid: {error}")),
    };
    if !answer.belongs_to(run) {
        return Outcome::Lost("the answer belongs to another run".to_owned());
    }
    match (answer.result, answer.error) {
        (Some(result), None) => Outcome::Done(result.get().as_bytes().to_vec()),
        (None, Some(error)) => Outcome::Failed(error),
        _ => Outcome::Lost("the answer has not exactly one of result and error".to_owned()),
    }
}

/// The error's message followed by those of its causes, which the library's own message omits.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text = format!("{text}: {inner}");
        cause = inner.source();
    }
    text
}
