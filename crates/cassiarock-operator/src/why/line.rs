//! Parsing of log lines.

use serde::Serialize;
use serde_json::{Map, Value};
use std::fmt;

/// Fields that are parsed into members of their own.
const HEADER_FIELDS: [&str; 6] = ["at", "level", "process", "what", "request", "job"];

/// A structured log line. If it names no process, the last word before the JSON object does:
/// log collectors put time and host there.
#[derive(Clone, Debug, Serialize)]
pub struct LogLine {
    /// The time, by the clock of the process.
    pub at: String,
    /// The name of the process that logged the line.
    pub process: String,
    /// The kind of the decision or event.
    pub what: String,
    /// The caller's id of the request, if the line is about one.
    pub request: String,
    /// The job's id, if the line is about one.
    pub job: String,
    /// All other fields: the inputs and the outcome of the decision.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a log line; `None` if it is not a structured one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let begin = text.find('{')?;
        let mut fields: Map<String, Value> = serde_json::from_str(&text[begin..]).ok()?;
        let text_of = |name: &str| match fields.get(name) {
            Some(Value::String(value)) => value.clone(),
            _ => String::new(),
        };
        let mut line = Self {
            at: text_of("at"),
            process: text_of("process"),
            what: text_of("what"),
            request: text_of("request"),
            job: text_of("job"),
            fields: Map::new(),
        };
        fields.retain(|name, _| !HEADER_FIELDS.contains(&name.as_str()));
        line.fields = fields;
        if line.process.is_empty() {
            let before = text[..begin].split_whitespace().last();
            line.process = before.unwrap_or_default().to_owned();
        }
        (!line.what.is_empty()).then_some(line)
    }

    /// Returns a field as text.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<String> {
        match self.fields.get(name)? {
            Value::String(text) => Some(text.clone()),
            other => Some(other.to_string()),
        }
    }

    /// Returns the names of the processes in the fields of the line, without incarnations.
    pub(super) fn named_processes(&self) -> Vec<String> {
        let places = self.field("places").unwrap_or_default();
        let agent = self.field("agent").unwrap_or_default();
        let named = places.split(',').chain(std::iter::once(agent.as_str()));
        named
            .filter_map(|place| Some(place.split('#').next()?.to_owned()))
            .filter(|name| !name.is_empty())
            .collect()
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.at, self.process, self.what)?;
        for name in self.fields.keys() {
            write!(f, " {name}={}", self.field(name).unwrap_or_default())?;
        }
        Ok(())
    }
}
