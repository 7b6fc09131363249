//! The conditions under which a rule matches a request.

mod mismatch;
mod span;
mod time_of_day;

pub use span::Span;
pub use time_of_day::{Hours, ParseTimeOfDayError, TimeOfDay};

use crate::Request;
use cassiarock_id::Name;
use serde::{Deserialize, Serialize};

/// A bound on the load of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The pool, not always the one in which the rule runs its requests.
    pub pool: Name,
    /// Percent of its slots in use.
    pub percent: Span,
}

/// All given parts must hold; what is left out holds always, so the default matches all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Condition {
    /// One of these kinds; any if empty.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kinds: Vec<Name>,
    /// One of these teams; any if empty.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<Name>,
    /// Arrived in one of these data centres; any if empty.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub data_centres: Vec<Name>,
    /// The number of tasks.
    #[serde(skip_serializing_if = "Span::is_full")]
    pub tasks: Span,
    /// Declared cores per task.
    #[serde(skip_serializing_if = "Span::is_full")]
    pub cores: Span,
    /// Declared memory per task in MB.
    #[serde(rename = "memory_mb", skip_serializing_if = "Span::is_full")]
    pub memory: Span,
    /// Declared accelerators per task.
    #[serde(skip_serializing_if = "Span::is_full")]
    pub accelerators: Span,
    /// The time of day.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hours: Option<Hours>,
    /// The load of a pool.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<Load>,
    /// Only repeatable requests, or only others.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
}

impl Condition {
    /// Whether every part holds for `request`.
    ///
    /// ```
    /// use cassiarock_rule::{Condition, Request};
    /// let condition = Condition { kinds: vec!["alert".into()], ..Condition::default() };
    /// assert!(condition.matches(&Request::new("alert")));
    /// assert!(!condition.matches(&Request::new("report")));
    /// ```
    #[must_use]
    pub fn matches(&self, request: &Request) -> bool {
        lists(&self.kinds, &request.kind)
            && lists(&self.teams, &request.team)
            && lists(&self.data_centres, &request.data_centre)
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

fn lists(names: &[Name], name: &Name) -> bool {
    names.is_empty() || names.contains(name)
}
