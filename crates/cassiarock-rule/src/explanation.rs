//! Why a rule decides a request, and why the earlier ones do not.

use crate::{Action, Request, RuleSet};
use cassiarock_id::Name;
use serde::{Deserialize, Serialize};

/// A rule that was passed over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SkippedRule {
    /// The rule.
    pub rule: Name,
    /// The first part of its condition that does not hold.
    pub reason: String,
}

/// The way of a request through the rules.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// The version of the rules.
    pub version: u64,
    /// The rules before the deciding one, in their order.
    pub passed: Vec<SkippedRule>,
    /// The deciding rule, or `default` where none matched.
    pub rule: Name,
    /// What it does.
    pub action: Action,
}

impl Explanation {
    /// Follows `request` through the rules of `version`.
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
