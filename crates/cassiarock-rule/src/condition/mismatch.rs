//! The part of a condition that keeps a request out.

use super::{Condition, Span};
use crate::Request;
use cassiarock_id::Name;

impl Condition {
    /// The first part that does not hold for `request`, in words; none if the condition
    /// holds.
    ///
    /// ```
    /// use cassiarock_rule::{Condition, Request};
    /// let condition = Condition { kinds: vec!["alert".into()], ..Condition::default() };
    /// let mismatch = condition.mismatch(&Request::new("report"));
    /// assert_eq!(mismatch.as_deref(), Some("kind report is not among alert"));
    /// assert_eq!(condition.mismatch(&Request::new("alert")), None);
    /// ```
    #[must_use]
    pub fn mismatch(&self, request: &Request) -> Option<String> {
        let need = request.need;
        list("kind", &self.kinds, &request.kind)
            .or_else(|| list("team", &self.teams, &request.team))
            .or_else(|| list("data_centre", &self.data_centres, &request.data_centre))
            .or_else(|| span("tasks", self.tasks, request.task_count))
            .or_else(|| span("cores", self.cores, need.cores))
            .or_else(|| span("memory_mb", self.memory, need.memory))
            .or_else(|| span("accelerators", self.accelerators, need.accelerators))
            .or_else(|| self.repetition(request))
            .or_else(|| self.time(request))
            .or_else(|| self.burden(request))
    }

    fn repetition(&self, request: &Request) -> Option<String> {
        let wanted = self
            .repeatable
            .filter(|wanted| *wanted != request.repeatable)?;
        Some(format!(
            "repeatable is {}, not {wanted}",
            request.repeatable
        ))
    }

    fn time(&self, request: &Request) -> Option<String> {
        let clock = request.time_of_day();
        let hours = self.hours.filter(|hours| !hours.contains(clock))?;
        Some(format!(
            "{clock} is not within {} to {}",
            hours.from, hours.until
        ))
    }

    fn burden(&self, request: &Request) -> Option<String> {
        let load = self.load.as_ref()?;
        let what = format!("load of {}", load.pool);
        span(&what, load.percent, request.loads.of(&load.pool))
    }
}

fn list(what: &str, names: &[Name], name: &Name) -> Option<String> {
    if names.is_empty() || names.contains(name) {
        return None;
    }
    Some(format!("{what} {name} is not among {}", names.join(", ")))
}

fn span(what: &str, span: Span, number: u32) -> Option<String> {
    if span.contains(number) {
        return None;
    }
    let Span { min, max } = span;
    Some(format!("{what} {number} is not within {min} to {max}"))
}
