//! What is wrong with a rule.

use crate::Rule;
use cassiarock_id::Name;
use std::fmt;

/// One fault and where it is.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct Problem {
    /// The rule.
    pub rule: Name,
    /// Its place in the set, from 0.
    pub position: usize,
    /// The line of its beginning in the file it was read from, from 1.
    pub line: Option<usize>,
    /// What is wrong.
    pub fault: Fault,
}

impl Problem {
    pub(crate) fn new(rule: &Rule, position: usize, fault: Fault) -> Self {
        Self {
            rule: rule.name.clone(),
            position,
            line: None,
            fault,
        }
    }

    pub(crate) fn with_line(self, line: Option<usize>) -> Self {
        Self { line, ..self }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "rule {} at {}: {}", self.rule, self.position, self.fault)
    }
}

/// A fault that makes a rule useless or harmful.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// Requests would wait for agents that cannot exist; name a configured pool.
    #[error("no pool is named {0}")]
    UnknownPool(Name),
    /// The rule can never decide; move it up, narrow the earlier one, or delete it.
    #[error("never reached, since rule {by} at {position} matches all that it matches")]
    Unreachable {
        /// The earlier rule.
        by: Name,
        /// Its place.
        position: usize,
    },
    /// Nothing could ever run under it; give a number above zero, or refuse with a reason.
    #[error("{0} is zero")]
    Zero(&'static str),
    /// No request can match; the lower end must not lie above the upper one.
    #[error("{0} holds for no value")]
    EmptyRange(&'static str),
    /// Edits could not tell the rules apart; give each another name.
    #[error("the name is taken by the rule at {0}")]
    Duplicate(usize),
    /// The rule needs a name.
    #[error("the name is empty")]
    EmptyName,
    /// A caller must learn why; give a reason.
    #[error("a refusal without reason")]
    EmptyReason,
    /// A caller would wait beyond any use, and claims are not kept that long.
    #[error("a deadline above {limit_s} s")]
    DeadlineTooLong {
        /// The longest deadline in seconds.
        limit_s: u64,
    },
    /// Retries would multiply the load of an outage; give at most 100.
    #[error("retry_percent above 100")]
    TooManyRetries,
    /// Delete rules that are no longer used.
    #[error("more than {limit} rules")]
    TooManyRules {
        /// The limit.
        limit: usize,
    },
}
