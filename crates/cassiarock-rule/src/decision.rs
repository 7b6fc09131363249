//! The decision of a rule set on one request.

use crate::Action;
use cassiarock_id::Name;
use std::fmt;

/// The outcome of the rules for one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// The deciding rule, or `default` where none matched.
    pub rule: Name,
    /// Its index in the rule set, from 0; the number of rules where none matched.
    pub position: usize,
    /// The action of that rule, or running under the default limits where none matched.
    pub action: Action,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} at {}: ", self.rule, self.position)?;
        match &self.action {
            Action::Run(run) => write!(f, "run in {}", run.pool),
            Action::Refuse { reason } => write!(f, "refuse, {reason}"),
        }
    }
}
