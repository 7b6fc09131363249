//! Access to the platform's log for the operators' commands.

use crate::Error;
use crate::progress::with_progress;
use cassiarock_id::{Name, Wall};
use cassiarock_platform::publish::{Answer, append};
use cassiarock_platform::{Error as PlatformError, Log, Publisher};
use cassiarock_rule::record::Body;
use cassiarock_rule::{Configuration, Difference, Record, RuleSet, State, edit, effect::Reason};
use cassiarock_settings::Client;
use std::time::Duration;

/// The log, read and written in the name of one operator.
pub struct Platform {
    log: Log,
    publisher: Publisher,
    operator: Name,
    patience: Duration,
    log_url: String,
}

/// The outcome of a change that was not rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Accepted as this version; in force at each process that has read the log up to it.
    Accepted(u64),
    /// The state already was as requested.
    Unchanged,
}

impl Platform {
    /// Opens the log named in the settings; the first call connects.
    pub fn new(settings: &Client) -> Result<Self, Error> {
        let log = Log::new(&settings.log)
            .map_err(|error| log_error("connect to the log", &settings.log, error))?
            .with_timeout(settings.timeout);
        let operator = settings.operator.clone();
        let publisher = Publisher::new(log.clone(), operator.clone());
        Ok(Self {
            log,
            publisher: publisher.with_time_limit(settings.wait),
            operator,
            patience: settings.wait,
            log_url: settings.log.clone(),
        })
    }

    /// Reads the state at the end of the log.
    pub async fn state(&mut self) -> Result<State, Error> {
        const STEP: &str = "read the log";
        let state = with_progress(STEP, self.publisher.state()).await;
        state.map_err(|error| log_error(STEP, &self.log_url, error))
    }

    /// Starts over on a truncated log, whose state cannot be rebuilt, and returns the new
    /// version. The record is valid only at the end of the log that was read here, so that
    /// one of two concurrent restores wins.
    pub async fn restore(&mut self, set: RuleSet, config: Configuration) -> Result<u64, Error> {
        const STEP: &str = "restore";
        match with_progress(STEP, self.publisher.state()).await {
            Err(PlatformError::Cut { .. }) => {}
            Err(error) => return Err(log_error(STEP, &self.log_url, error)),
            Ok(state) => {
                let reason = format!("the log can be read, at version {}", state.version);
                return Err(Error::Refused { step: STEP, reason });
            }
        }
        let edges = self.log.edges().await;
        let end = edges
            .map_err(|error| log_error(STEP, &self.log_url, error))?
            .end;
        let body = Body::Restore {
            end,
            set,
            configuration: config,
        };
        let record = Record::new(Wall::now(), self.operator.clone(), body);
        let appended = with_progress(STEP, append(&self.log, &record, end, self.patience)).await;
        let offset = appended.map_err(|error| log_error(STEP, &self.log_url, error))?;
        if offset != end {
            let reason = "another record came first; repeat the command".to_owned();
            return Err(Error::Conflict { step: STEP, reason });
        }
        Ok(offset + 1)
    }

    /// Returns the publisher of changes.
    pub const fn publisher(&mut self) -> &mut Publisher {
        &mut self.publisher
    }

    /// Converts the answer to the change that `step` describes.
    pub fn change_outcome(
        &self,
        step: &'static str,
        answer: Result<Answer, PlatformError>,
    ) -> Result<Change, Error> {
        match answer.map_err(|error| log_error(step, &self.log_url, error))? {
            Answer::Accepted { version } => Ok(Change::Accepted(version)),
            Answer::Unchanged => Ok(Change::Unchanged),
            Answer::Rejected {
                reason, difference, ..
            } => Err(rejection_error(step, &reason, &difference)),
        }
    }
}

/// Distinguishes failures after which the change may be in force from those after which it
/// is not.
fn log_error(step: &'static str, peer: &str, error: PlatformError) -> Error {
    match error {
        PlatformError::Unsettled { .. } => Error::Unsettled {
            step,
            reason: error.to_string(),
        },
        _ => Error::Unreachable {
            step,
            peer: peer.to_owned(),
            reason: error.to_string(),
        },
    }
}

fn rejection_error(step: &'static str, reason: &Reason, difference: &Difference) -> Error {
    match reason {
        Reason::Conflict { .. } => Error::Conflict {
            step,
            reason: conflict_message(reason, difference),
        },
        Reason::Edit {
            error: edit::Error::Unknown(name),
            ..
        } => Error::NotFound {
            step,
            what: format!("rule `{name}`"),
        },
        Reason::UnknownAgent(name) => Error::NotFound {
            step,
            what: format!("agent `{name}`"),
        },
        Reason::DrainLimit { .. } => Error::Refused {
            step,
            reason: format!("{reason}; wait for others to return, or give --force"),
        },
        _ => Error::Refused {
            step,
            reason: reason.to_string(),
        },
    }
}

/// Describes the change that won the race: its author and its content.
fn conflict_message(reason: &Reason, difference: &Difference) -> String {
    let advice = "look at it, and repeat the command if still wanted";
    if difference.lines.is_empty() {
        return format!("{reason}; {advice}");
    }
    format!("{reason}; {advice}:\n{difference}")
}
