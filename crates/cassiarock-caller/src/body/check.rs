//! Checks shared by the bodies.

use crate::{Error, Limit};
use cassiarock_id::{Job, Name, Wall};
use std::time::Duration;

/// Checks that a name is not empty, within the limit and without control characters.
pub(super) fn name(field: impl Into<String>, text: &str, limit: &Limit) -> Result<Name, Error> {
    if text.is_empty() {
        return Err(Error::field(field, "it is empty"));
    }
    if text.len() > limit.name {
        let reason = format!("it is over {} bytes", limit.name);
        return Err(Error::field(field, reason));
    }
    if text.chars().any(char::is_control) {
        return Err(Error::field(field, "it holds a control character"));
    }
    Ok(text.into())
}

/// The job's id. Only a repeatable one may be left out: without an id a caller has no
/// way to submit a job again that may not run twice.
pub(super) fn id(text: Option<&str>, repeatable: bool) -> Result<Job, Error> {
    match text {
        Some(text) => text
            .parse()
            .map_err(|error: cassiarock_id::Error| Error::field("id", error.to_string())),
        None if repeatable => Ok(Job::new(Wall::now())),
        None => Err(Error::field(
            "id",
            "it is missing, and only a repeatable submission may leave it out",
        )),
    }
}

/// Checks that the deadline is above zero and within the limit.
pub(super) fn deadline(deadline: Duration, limit: &Limit) -> Result<Duration, Error> {
    if deadline.is_zero() {
        return Err(Error::field("deadline_ms", "it is zero"));
    }
    if deadline > limit.deadline {
        let reason = format!("it is over {} ms", limit.deadline.as_millis());
        return Err(Error::field("deadline_ms", reason));
    }
    Ok(deadline)
}
