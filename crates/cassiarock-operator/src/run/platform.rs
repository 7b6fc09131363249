//! The platform's log, as operators' commands use it.

use crate::Error;
use crate::progress::during;
use cassiarock_id::{Name, Wall};
use cassiarock_platform::publish::{Answer, append};
use cassiarock_platform::{Error as Cause, Log, Publisher};
use cassiarock_rule::record::Body;
use cassiarock_rule::{Configuration, Difference, Record, RuleSet, State, edit, effect::Reason};
use cassiarock_settings::Client;
use std::time::Duration;

/// The log on behalf of one operator.
pub struct Platform {
    log: Log,
    publisher: Publisher,
    operator: Name,
    patience: Duration,
    peer: String,
}

/// What became of a change that was not rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It counts, and is in force where the log has been read this far.
    Accepted(u64),
    /// It asked for what was already so.
    Unchanged,
}

impl Platform {
    /// The log named in the settings; connects with the first call.
    pub fn new(settings: &Client) -> Result<Self, Error> {
        let log = Log::new(&settings.log)
            .map_err(|error| failed("connect to the log", &settings.log, error))?
            .with_timeout(settings.timeout);
        let operator = settings.operator.clone();
        let publisher = Publisher::new(log.clone(), operator.clone());
        Ok(Self {
            log,
            publisher: publisher.with_time_limit(settings.wait),
            operator,
            patience: settings.wait,
            peer: settings.log.clone(),
        })
    }

    /// The state at the end of the log.
    pub async fn state(&mut self) -> Result<State, Error> {
        const STEP: &str = "read the log";
        let state = during(STEP, self.publisher.state()).await;
        state.map_err(|error| failed(STEP, &self.peer, error))
    }

    /// Begins anew on a log whose state nobody can know, and gives the new version. The
    /// record counts only at the end of the log as it was seen here, so that of two
    /// operators who restore at once one wins.
    pub async fn restore(&mut self, set: RuleSet, config: Configuration) -> Result<u64, Error> {
        const STEP: &str = "restore";
        match during(STEP, self.publisher.state()).await {
            Err(Cause::Cut { .. }) => {}
            Err(error) => return Err(failed(STEP, &self.peer, error)),
            Ok(state) => {
                let reason = format!("the log can be read, at version {}", state.version);
                return Err(Error::Refused { step: STEP, reason });
            }
        }
        let edges = self.log.edges().await;
        let end = edges.map_err(|error| failed(STEP, &self.peer, error))?.end;
        let body = Body::Restore {
            end,
            set,
            configuration: config,
        };
        let record = Record::new(Wall::now(), self.operator.clone(), body);
        let appended = during(STEP, append(&self.log, &record, end, self.patience)).await;
        let offset = appended.map_err(|error| failed(STEP, &self.peer, error))?;
        if offset != end {
            let reason = "another record came first; repeat the command".to_owned();
            return Err(Error::Conflict { step: STEP, reason });
        }
        Ok(offset + 1)
    }

    /// The publisher, for one change.
    pub const fn publisher(&mut self) -> &mut Publisher {
        &mut self.publisher
    }

    /// What became of the change of `step`.
    pub fn settle(
        &self,
        step: &'static str,
        answer: Result<Answer, Cause>,
    ) -> Result<Change, Error> {
        match answer.map_err(|error| failed(step, &self.peer, error))? {
            Answer::Accepted { version } => Ok(Change::Accepted(version)),
            Answer::Unchanged => Ok(Change::Unchanged),
            Answer::Rejected {
                reason, difference, ..
            } => Err(rejected(step, &reason, &difference)),
        }
    }
}

/// Sorts a failure of the log by whether the change may count all the same.
fn failed(step: &'static str, peer: &str, error: Cause) -> Error {
    match error {
        Cause::Unsettled { .. } => Error::Unsettled {
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

fn rejected(step: &'static str, reason: &Reason, difference: &Difference) -> Error {
    match reason {
        Reason::Conflict { .. } => Error::Conflict {
            step,
            reason: conflict(reason, difference),
        },
        Reason::Edit {
            error: edit::Error::Unknown(name),
            ..
        } => Error::Unknown {
            step,
            what: format!("rule `{name}`"),
        },
        Reason::UnknownAgent(name) => Error::Unknown {
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

/// What the loser of a race needs: who was first, and with what.
fn conflict(reason: &Reason, difference: &Difference) -> String {
    let advice = "look at it, and repeat the command if still wanted";
    if difference.lines.is_empty() {
        return format!("{reason}; {advice}");
    }
    format!("{reason}; {advice}:\n{difference}")
}
