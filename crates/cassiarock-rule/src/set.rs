//! The ordered rules.

use crate::action::Run;
use crate::{Action, Condition, Decision, Request};
use cassiarock_id::Name;
use serde::{Deserialize, Serialize};

/// The name that decisions carry where no rule matched.
pub const DEFAULT_RULE: &str = "default";

/// One rule: when a request matches, then the action is taken.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique within the set.
    pub name: Name,
    /// Which requests it decides; all if left out.
    #[serde(default)]
    pub when: Condition,
    /// What is done with them.
    pub then: Action,
}

impl Rule {
    /// A rule for all requests.
    pub fn new(name: impl Into<Name>, then: Action) -> Self {
        Self {
            name: name.into(),
            when: Condition::default(),
            then,
        }
    }

    /// The same under a condition.
    #[must_use]
    pub fn with_condition(self, when: Condition) -> Self {
        Self { when, ..self }
    }
}

/// Rules in order; the first that matches decides.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RuleSet {
    /// In the order of matching.
    pub rules: Vec<Rule>,
}

impl RuleSet {
    /// A set of these rules, in this order.
    #[must_use]
    pub fn new(rules: Vec<Rule>) -> Self {
        Self { rules }
    }

    /// Finds the first rule that matches; a request that none matches runs in the default
    /// pool under the default limits, so that a first start needs no rules.
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

    /// The place of the rule `name`.
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
