//! The explanation of why a rule decides a request and the earlier ones do not.

use crate::{Action, Request, RuleSet};
use cassiarock_id::Name;
use serde::{Deserialize, Serialize};

/// A rule that does not match the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SkippedRule {
    /// The name of the rule.
    pub rule: Name,
    /// The first part of its condition that does not match.
    pub reason: String,
}

/// How the rules are evaluated for a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// The version of the rules.
    pub version: u64,
    /// The rules before the deciding one, in their order.
    pub passed: Vec<SkippedRule>,
    /// The deciding rule, or `default` where none matched.
    pub rule: Name,
    /// Its action.
    pub action: Action,
}

impl Explanation {
    /// Evaluates the rules of `version` for `request`.
    ///
    /// ```
    /// use cassiarock_rule::{Action, Condition, Explanation, Request, Rule, RuleSet};
    /// let closed = Action::Refuse { reason: "closed".into() };
    /// let alerts = Condition { kinds: vec!["alert".into()], ..Condition::default() };
    /// let set = RuleSet::new(vec![Rule::new("alerts", closed).with_condition(alerts)]);
    /// let explanation = Explanation::new(7, &set, &Request::new("report"));
    /// assert_eq!(&*explanation.rule, "default");
    /// assert_eq!(explanation.passed[0].reason, "kind report is not among alert");
    /// ```
    #[must_use]
    pub fn new(version: u64, set: &RuleSet, request: &Request) -> Self {
        let decision = set.decide(request);
        let earlier = set.rules.iter().take(decision.position);
        let passed = earlier.filter_map(|rule| {
            Some(SkippedRule {
                rule: rule.name.clone(),
                reason: rule.when.mismatch(request)?,
            })
        });
        Self {
            version,
            passed: passed.collect(),
            rule: decision.rule,
            action: decision.action,
        }
    }
}
