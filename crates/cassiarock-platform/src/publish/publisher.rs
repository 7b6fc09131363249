//! Publishes an operator's changes and reports their effect.

use super::append;
use crate::reader::Outcome;
use crate::{Error, Log, Reader};
use cassiarock_id::{Name, Wall};
use cassiarock_rule::effect::Reason;
use cassiarock_rule::record::{Body, Id};
use cassiarock_rule::{Configuration, Difference, Edit, Effect, Record, State, check};
use std::time::Duration;

/// Time limit of an operator's command for one change.
const TIME_LIMIT: Duration = Duration::from_secs(15);
/// How long a read for the published record waits at a time.
const WAIT: Duration = Duration::from_secs(1);

/// The effect of a published change.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The change is in force. For rules and configuration it made this version; for all records this is
    /// what a process must have folded in (`State::next`) to have the change in force.
    Accepted {
        /// One more than the offset of the record.
        version: u64,
    },
    /// The change has no effect, because another change came first or it is invalid.
    Rejected {
        /// Why.
        reason: Reason,
        /// What others changed since this publisher last returned its state.
        difference: Difference,
        /// The state against which it was checked.
        state: Box<State>,
    },
    /// The change asks for what is already in force.
    Unchanged,
}

/// Publishes on behalf of one operator.
#[derive(Debug)]
pub struct Publisher {
    log: Log,
    reader: Reader,
    by: Name,
    time_limit: Duration,
    /// The state last returned to the operator; the base of the difference in a rejection.
    shown: State,
}

impl Publisher {
    /// A publisher in the name of the operator `by`.
    pub fn new(log: Log, by: impl Into<Name>) -> Self {
        Self {
            reader: Reader::new(log.clone()),
            log,
            by: by.into(),
            time_limit: TIME_LIMIT,
            shown: State::default(),
        }
    }

    /// The same with another limit on the time that one change may take.
    #[must_use]
    pub fn with_time_limit(self, time_limit: Duration) -> Self {
        Self { time_limit, ..self }
    }

    /// Reads to the end of the log and gives the state there.
    ///
    /// # Errors
    /// If the log fails, or was cut beyond every usable snapshot.
    pub async fn state(&mut self) -> Result<State, Error> {
        self.shown = self.refresh().await?;
        Ok(self.shown.clone())
    }

    async fn refresh(&mut self) -> Result<State, Error> {
        self.reader.catch_up().await?;
        let state = self.reader.state().filter(|_| !self.reader.is_searching());
        state.cloned().ok_or_else(|| Error::Cut {
            peer: self.log.peer().into(),
        })
    }

    /// Changes the rules from what they were at version `based_on`. Invalid rules
    /// are rejected before anything is appended.
    ///
    /// ```
    /// # use cassiarock_platform::{Log, Publisher, publish::Answer};
    /// # use cassiarock_rule::{Action, Edit, Rule, action::Run};
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// # let stand = cassiarock_test_support::log::Stand::start().await?;
    /// let mut publisher = Publisher::new(Log::new(stand.url())?, "ana");
    /// let rule = Rule::new("all", Action::Run(Run::new("nowhere")));
    /// let answer = publisher.edit(0, vec![Edit::Insert { at: 0, rule }]).await?;
    /// assert!(matches!(answer, Answer::Rejected { .. }));
    /// assert_eq!(stand.end(), 0);
    /// # Ok::<_, Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<_, Box<dyn std::error::Error>>(())
    /// ```
    ///
    /// # Errors
    /// If the log fails; see [`append`].
    pub async fn edit(&mut self, based_on: u64, edits: Vec<Edit>) -> Result<Answer, Error> {
        let state = self.refresh().await?;
        if state.version != based_on {
            return Ok(self.rejected(state.conflict(based_on), state));
        }
        let set = match state.with_edits(&edits) {
            Ok(set) => set,
            Err(reason) => return Ok(self.rejected(reason, state)),
        };
        let problems = check::rule_set(&set, &state.configuration);
        if !problems.is_empty() {
            return Ok(self.rejected(invalid(&problems), state));
        }
        self.publish(Body::Rules { based_on, edits }).await
    }

    /// Replaces the configuration that was at version `based_on`. One that is invalid, or
    /// makes the rules invalid, is rejected before anything is appended.
    ///
    /// # Errors
    /// If the log fails; see [`append`].
    pub async fn configure(
        &mut self,
        based_on: u64,
        configuration: Configuration,
    ) -> Result<Answer, Error> {
        let state = self.refresh().await?;
        if state.version != based_on {
            return Ok(self.rejected(state.conflict(based_on), state));
        }
        let problems = check::configuration(&configuration, &state.rules);
        if !problems.is_empty() {
            return Ok(self.rejected(invalid(&problems), state));
        }
        let body = Body::Configuration {
            based_on,
            configuration,
        };
        self.publish(body).await
    }

    /// Orders an agent to leave, or to stay after all.
    ///
    /// # Errors
    /// If the log fails; see [`append`].
    pub async fn drain(
        &mut self,
        agent: impl Into<Name>,
        leaving: bool,
        force: bool,
    ) -> Result<Answer, Error> {
        let body = Body::Drain {
            agent: agent.into(),
            incarnation: None,
            leaving,
            force,
        };
        self.publish(body).await
    }

    /// Appends a record and reads the log until the effect of its first copy is known.
    ///
    /// # Errors
    /// If the log fails; see [`append`].
    pub async fn publish(&mut self, body: Body) -> Result<Answer, Error> {
        self.refresh().await?;
        let record = Record::new(Wall::now(), self.by.clone(), body);
        let from = self.reader.end();
        append(&self.log, &record, from, self.time_limit).await?;
        self.await_effect(record.id).await
    }

    async fn await_effect(&mut self, id: Id) -> Result<Answer, Error> {
        let deadline = tokio::time::Instant::now() + self.time_limit;
        loop {
            let error = match self.reader.step(WAIT).await {
                Ok(outcomes) => {
                    let own = outcomes.into_iter().find(|outcome| outcome.id == Some(id));
                    if let Some(outcome) = own {
                        return Ok(self.answer(outcome));
                    }
                    None
                }
                Err(error) => Some(error),
            };
            if tokio::time::Instant::now() >= deadline {
                return Err(self.unsettled(id, error));
            }
        }
    }

    fn answer(&self, outcome: Outcome) -> Answer {
        match outcome.effect {
            Some(Effect::Accepted) => Answer::Accepted {
                version: outcome.offset + 1,
            },
            Some(Effect::Rejected(reason)) => {
                let state = self.reader.state().cloned().unwrap_or_default();
                self.rejected(reason, state)
            }
            Some(Effect::Ignored) | None => Answer::Unchanged,
        }
    }

    fn rejected(&self, reason: Reason, state: State) -> Answer {
        Answer::Rejected {
            reason,
            difference: Difference::new(&self.shown, &state),
            state: Box::new(state),
        }
    }

    fn unsettled(&self, id: Id, error: Option<Error>) -> Error {
        let source = error.unwrap_or_else(|| Error::Cut {
            peer: self.log.peer().into(),
        });
        Error::Unsettled {
            id,
            source: Box::new(source),
        }
    }
}

fn invalid(problems: &[impl ToString]) -> Reason {
    Reason::Invalid(problems.iter().map(ToString::to_string).collect())
}
