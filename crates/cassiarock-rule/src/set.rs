//! Rules and ordered rule sets.

use crate::action::Run;
use crate::{Action, Condition, Decision, Request};
use cassiarock_id::Name;
use serde::{Deserialize, Serialize};

/// The rule name in decisions on requests that no rule matched.
pub const DEFAULT_RULE: &str = "default";

/// A condition on requests, and the action for those that match it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The name, unique within the set.
    pub name: Name,
    /// The condition; matches all requests if left out.
    #[serde(default)]
    pub when: Condition,
    /// The action for matching requests.
    pub then: Action,
}

impl Rule {
    /// Creates a rule that matches all requests.
    pub fn new(name: impl Into<Name>, then: Action) -> Self {
        Self {
            name: name.into(),
            when: Condition::default(),
            then,
        }
    }

    /// Replaces the condition.
    #[must_use]
    pub fn with_condition(self, when: Condition) -> Self {
        Self { when, ..self }
    }
}

/// An ordered set of rules, of which the first that matches decides.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RuleSet {
    /// The rules in the order in which they are matched.
    pub rules: Vec<Rule>,
}

impl RuleSet {
    /// Creates a set of rules in the given order.
    #[must_use]
    pub fn new(rules: Vec<Rule>) -> Self {
        Self { rules }
    }

    /// Decides by the first rule that matches. A request that none matches runs in the default
    /// pool under the default limits, so that a new system needs no rules.
    ///
    /// ```
    /// use cassiarock_rule::{Action, Request, Rule, RuleSet};
    /// let closed = Action::Refuse { reason: "closed".into() };
    /// let set = RuleSet::new(vec![Rule::new("all", closed)]);
    /// assert_eq!(&*set.decide(&Request::new("any")).rule, "all");
    /// ```
    #[must_use]
    pub fn decide(&self, request: &Request) -> Decision {
        let found = self
            .rules
            .iter()
            .position(|rule| rule.when.matches(request));
        match found.and_then(|position| Some((position, self.rules.get(position)?))) {
            Some((position, rule)) => Decision {
                rule: rule.name.clone(),
                position,
                action: rule.then.clone(),
            },
            None => self.unmatched(),
        }
    }

    /// The index of the rule `name`.
    #[must_use]
    pub fn position(&self, name: &str) -> Option<usize> {
        self.rules.iter().position(|rule| &*rule.name == name)
    }

    fn unmatched(&self) -> Decision {
        Decision {
            rule: DEFAULT_RULE.into(),
            position: self.rules.len(),
            action: Action::Run(Run::default()),
        }
    }
}
