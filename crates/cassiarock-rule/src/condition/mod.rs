//! The conditions of rules on requests.

mod mismatch;
mod span;
mod time_of_day;

pub use span::Span;
pub use time_of_day::{Hours, ParseTimeOfDayError, TimeOfDay};

use crate::Request;
use cassiarock_id::Name;
use serde::{Deserialize, Serialize};

/// A condition on the load of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The pool, which may differ from the one in which the rule runs requests.
    pub pool: Name,
    /// The range of the used slots in percent.
    pub percent: Span,
}

/// A condition that matches a request if all its given parts match. A part that is left out
/// always matches, so the default matches every request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Condition {
    /// The accepted kinds; any if empty.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kinds: Vec<Name>,
    /// The accepted teams; any if empty.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<Name>,
    /// The accepted data centres of arrival; any if empty.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub data_centres: Vec<Name>,
    /// The range of the number of tasks.
    #[serde(skip_serializing_if = "Span::is_full")]
    pub tasks: Span,
    /// The range of declared cores per task.
    #[serde(skip_serializing_if = "Span::is_full")]
    pub cores: Span,
    /// The range of declared memory per task, in MB.
    #[serde(rename = "memory_mb", skip_serializing_if = "Span::is_full")]
    pub memory: Span,
    /// The range of declared accelerators per task.
    #[serde(skip_serializing_if = "Span::is_full")]
    pub accelerators: Span,
    /// The range of the time of day.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hours: Option<Hours>,
    /// The load of a pool.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<Load>,
    /// If given, only requests that are repeatable, or only those that are not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
}

impl Condition {
    /// Whether every part matches `request`.
    ///
    /// ```
    /// use cassiarock_rule::{Condition, Request};
    /// let condition = Condition { kinds: vec!["alert".into()], ..Condition::default() };
    /// assert!(condition.matches(&Request::new("alert")));
    /// assert!(!condition.matches(&Request::new("report")));
    /// ```
    #[must_use]
    pub fn matches(&self, request: &Request) -> bool {
        list_matches(&self.kinds, &request.kind)
            && list_matches(&self.teams, &request.team)
            && list_matches(&self.data_centres, &request.data_centre)
            && self.tasks.contains(request.task_count)
            && self.cores.contains(request.need.cores)
            && self.memory.contains(request.need.memory)
            && self.accelerators.contains(request.need.accelerators)
            && self
                .repeatable
                .is_none_or(|wanted| wanted == request.repeatable)
            && self
                .hours
                .is_none_or(|hours| hours.contains(request.time_of_day()))
            && self.load_matches(request)
    }

    fn load_matches(&self, request: &Request) -> bool {
        self.load
            .as_ref()
            .is_none_or(|load| load.percent.contains(request.loads.of(&load.pool)))
    }
}

fn list_matches(names: &[Name], name: &Name) -> bool {
    names.is_empty() || names.contains(name)
}
