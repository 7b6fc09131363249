//! The problems that validation finds in rules.

use crate::Rule;
use cassiarock_id::Name;
use std::fmt;

/// A fault and its location.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct Problem {
    /// The name of the rule.
    pub rule: Name,
    /// Its index in the set, from 0.
    pub position: usize,
    /// The line at which it begins in the file that it was read from, counted from 1.
    pub line: Option<usize>,
    /// The fault.
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
    /// The pool is not configured, so requests would wait for agents that cannot exist; name a
    /// configured pool.
    #[error("no pool is named {0}")]
    UnknownPool(Name),
    /// The rule can never match; move it up, narrow the earlier one, or delete it.
    #[error("never reached, since rule {by} at {position} matches all that it matches")]
    Unreachable {
        /// The name of the earlier rule.
        by: Name,
        /// Its index.
        position: usize,
    },
    /// A limit is zero, so that nothing could run; give a number above zero, or refuse with a
    /// reason.
    #[error("{0} is zero")]
    Zero(&'static str),
    /// A range is empty, so no request can match; the minimum must not be above the maximum.
    #[error("{0} holds for no value")]
    EmptyRange(&'static str),
    /// Another rule has the same name, so edits could not tell them apart; rename one.
    #[error("the name is taken by the rule at {0}")]
    Duplicate(usize),
    /// The rule has no name.
    #[error("the name is empty")]
    EmptyName,
    /// A refusal has no reason to tell the caller; give one.
    #[error("a refusal without reason")]
    EmptyReason,
    /// The deadline is longer than any caller waits and than claims are retained.
    #[error("a deadline above {limit_s} s")]
    DeadlineTooLong {
        /// The longest deadline in seconds.
        limit_s: u64,
    },
    /// Retries would multiply the load during an outage; give at most 100.
    #[error("retry_percent above 100")]
    TooManyRetries,
    /// The set has too many rules; delete unused ones.
    #[error("more than {limit} rules")]
    TooManyRules {
        /// The limit.
        limit: usize,
    },
}
