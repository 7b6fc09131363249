//! Validation of values that parsed but may be out of range or inconsistent.

use crate::Error;
use std::net::SocketAddr;
use std::time::Duration;

/// An invalid field value, before the name of the file is added.
pub struct Problem {
    field: &'static str,
    problem: String,
    remedy: String,
}

impl Problem {
    /// `problem` says why the value of `field` is invalid, `remedy` what to write instead.
    pub fn new(field: &'static str, problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            field,
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }

    /// Converts the problem into an error that names `file`.
    pub fn in_file(self, file: &str) -> Error {
        Error::Range {
            file: file.to_owned(),
            field: self.field.to_owned(),
            problem: self.problem,
            remedy: self.remedy,
        }
    }
}

/// The outcome of a check: nothing, or the first problem found.
pub type Check = Result<(), Problem>;

/// Checks a name. Names appear in logs, metric labels and records, so they are limited to
/// 64 ASCII letters, digits, `-`, `_` or `.`.
pub fn name(field: &'static str, value: &str) -> Check {
    const MAX_LENGTH: usize = 64;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !value.is_empty() && value.len() <= MAX_LENGTH && value.chars().all(is_allowed) {
        return Ok(());
    }
    Err(Problem::new(
        field,
        format!("{value:?} is no name"),
        "use 1 to 64 letters, digits, `-`, `_` or `.`",
    ))
}

/// Checks a base URL. Only `http` is accepted: the platform's network does not need TLS.
pub fn url(field: &'static str, value: &str) -> Check {
    let host = value.strip_prefix("http://").unwrap_or_default();
    if !host.is_empty() && !host.starts_with('/') && !host.contains(char::is_whitespace) {
        return Ok(());
    }
    Err(Problem::new(
        field,
        format!("{value:?} is no base URL"),
        "write it as http://HOST:PORT",
    ))
}

/// Checks each base URL with [`url`].
pub fn urls(field: &'static str, values: &[String]) -> Check {
    values.iter().try_for_each(|value| url(field, value))
}

/// Checks that a count is at least one.
pub fn positive(field: &'static str, value: usize) -> Check {
    if value > 0 {
        return Ok(());
    }
    Err(Problem::new(field, "must not be zero", "give at least 1"))
}

/// Checks that a duration is between `least` and `most`, both included.
pub fn between(field: &'static str, value: Duration, least: Duration, most: Duration) -> Check {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(Problem::new(
        field,
        format!("{value:?} is out of range"),
        format!("give between {least:?} and {most:?}"),
    ))
}

/// Checks that a share is between 0 and 1, both included.
pub fn share(field: &'static str, value: f64) -> Check {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(Problem::new(
        field,
        format!("{value} is no share"),
        "give between 0 and 1",
    ))
}

/// Checks that the address announced to others is reachable. A listener on all interfaces
/// (0.0.0.0) has no address that others can use, so a public one must be given.
pub fn reachable(field: &'static str, listen: SocketAddr, public: Option<SocketAddr>) -> Check {
    let announced = public.unwrap_or(listen);
    if !announced.ip().is_unspecified() {
        return Ok(());
    }
    Err(Problem::new(
        field,
        format!("{announced} cannot be reached by others"),
        "give this VM's IP number and the port",
    ))
}

/// Checks that no two listeners of one process share an address: the second bind would
/// fail at startup. Port 0 is replaced by an ephemeral port and never conflicts.
pub fn distinct(listeners: &[(&'static str, SocketAddr)]) -> Check {
    for (index, (field, address)) in listeners.iter().enumerate() {
        let conflict = listeners[..index]
            .iter()
            .find(|(_, earlier)| conflicts(*earlier, *address));
        if let Some((other, _)) = conflict {
            return Err(Problem::new(
                field,
                format!("{address} is also the address of `{other}`"),
                "give each listener its own port",
            ));
        }
    }
    Ok(())
}

fn conflicts(one: SocketAddr, other: SocketAddr) -> bool {
    let same_host =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && same_host
}

/// Checks that a count is at most `most`.
pub fn at_most(field: &'static str, value: usize, most: usize) -> Check {
    if value <= most {
        return Ok(());
    }
    Err(Problem::new(
        field,
        format!("{value} is too large"),
        format!("give at most {most}"),
    ))
}

/// Checks that a count is at least `least`.
pub fn at_least(field: &'static str, value: usize, least: usize) -> Check {
    if value >= least {
        return Ok(());
    }
    Err(Problem::new(
        field,
        format!("{value} is too small"),
        format!("give at least {least}"),
    ))
}

/// Checks the clock skew. The platform synchronises the clocks; a difference of more than
/// some seconds is a fault, not a skew.
pub fn skew(value: Duration) -> Check {
    const MAX: Duration = Duration::from_secs(10);
    between("clock_skew", value, Duration::from_millis(1), MAX)
}

/// Checks the log retention. A quarter of it must cover a significant outage of the log.
pub fn retention(value: Duration) -> Check {
    const MIN: Duration = Duration::from_secs(60);
    const MAX: Duration = Duration::from_secs(30 * 86_400);
    between("log_retention", value, MIN, MAX)
}

/// Checks the drain limit. The platform waits only a limited time for a process to leave.
pub fn drain(value: Duration) -> Check {
    const MIN: Duration = Duration::from_millis(100);
    const MAX: Duration = Duration::from_secs(3600);
    between("drain_limit", value, MIN, MAX)
}
