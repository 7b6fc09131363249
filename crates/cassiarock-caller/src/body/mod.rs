//! The JSON bodies of requests, and their checks.

mod check;
mod job;
mod request;
mod task;

pub(crate) use job::Job;
pub(crate) use request::Request;

use crate::Error;
use serde::de::DeserializeOwned;

/// Parses a body; the error names the field that does not fit.
pub(crate) fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut parser = serde_json::Deserializer::from_slice(bytes);
    let value = serde_path_to_error::deserialize(&mut parser).map_err(|error| Error::Body {
        field: error.path().to_string(),
        reason: error.inner().to_string(),
    })?;
    parser.end().map_err(|error| Error::Body {
        field: ".".to_owned(),
        reason: error.to_string(),
    })?;
    Ok(value)
}
