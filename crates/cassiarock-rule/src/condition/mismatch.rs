//! The explanation of why a condition does not match a request.

use super::{Condition, Span};
use crate::Request;
use cassiarock_id::Name;

impl Condition {
    /// Describes the first part that does not match `request`; `None` if the condition matches.
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
        list_mismatch("kind", &self.kinds, &request.kind)
            .or_else(|| list_mismatch("team", &self.teams, &request.team))
            .or_else(|| list_mismatch("data_centre", &self.data_centres, &request.data_centre))
            .or_else(|| span_mismatch("tasks", self.tasks, request.task_count))
            .or_else(|| span_mismatch("cores", self.cores, need.cores))
            .or_else(|| span_mismatch("memory_mb", self.memory, need.memory))
            .or_else(|| span_mismatch("accelerators", self.accelerators, need.accelerators))
            .or_else(|| self.repeatable_mismatch(request))
            .or_else(|| self.hours_mismatch(request))
            .or_else(|| self.load_mismatch(request))
    }

    fn repeatable_mismatch(&self, request: &Request) -> Option<String> {
        let wanted = self
            .repeatable
            .filter(|wanted| *wanted != request.repeatable)?;
        Some(format!(
            "repeatable is {}, not {wanted}",
            request.repeatable
        ))
    }

    fn hours_mismatch(&self, request: &Request) -> Option<String> {
        let time = request.time_of_day();
        let hours = self.hours.filter(|hours| !hours.contains(time))?;
        Some(format!(
            "{time} is not within {} to {}",
            hours.from, hours.until
        ))
    }

    fn load_mismatch(&self, request: &Request) -> Option<String> {
        let load = self.load.as_ref()?;
        let name = format!("load of {}", load.pool);
        span_mismatch(&name, load.percent, request.loads.of(&load.pool))
    }
}

fn list_mismatch(part: &str, names: &[Name], name: &Name) -> Option<String> {
    if names.is_empty() || names.contains(name) {
        return None;
    }
    Some(format!("{part} {name} is not among {}", names.join(", ")))
}

fn span_mismatch(part: &str, span: Span, number: u32) -> Option<String> {
    if span.contains(number) {
        return None;
    }
    let Span { min, max } = span;
    Some(format!("{part} {number} is not within {min} to {max}"))
}
