//! One line of a log.

use serde::Serialize;
use serde_json::{Map, Value};
use std::fmt;

/// Fields that stand apart from the inputs of a decision.
const HEAD: [&str; 6] = ["at", "level", "process", "what", "request", "job"];

/// A structured line. Whatever stands before it on its line in the file, as a collector's
/// time and host, names the process if the line itself does not.
#[derive(Clone, Debug, Serialize)]
pub struct LogLine {
    /// When, as the process's clock said.
    pub at: String,
    /// The process.
    pub process: String,
    /// What was decided or happened.
    pub what: String,
    /// The caller's id of the request, if the line is about one.
    pub request: String,
    /// The job's id, if the line is about one.
    pub job: String,
    /// The inputs and the outcome.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// A line of a log; none if it is no structured one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let begin = text.find('{')?;
        let mut fields: Map<String, Value> = serde_json::from_str(&text[begin..]).ok()?;
        let take = |name: &str| match fields.get(name) {
            Some(Value::String(value)) => value.clone(),
            _ => String::new(),
        };
        let mut line = Self {
            at: take("at"),
            process: take("process"),
            what: take("what"),
            request: take("request"),
            job: take("job"),
            fields: Map::new(),
        };
        fields.retain(|name, _| !HEAD.contains(&name.as_str()));
        line.fields = fields;
        if line.process.is_empty() {
            let before = text[..begin].split_whitespace().last();
            line.process = before.unwrap_or_default().to_owned();
        }
        (!line.what.is_empty()).then_some(line)
    }

    /// A field as text.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<String> {
        match self.fields.get(name)? {
            Value::String(text) => Some(text.clone()),
            other => Some(other.to_string()),
        }
    }

    /// The processes that the line names in its fields, without their incarnations.
    pub(super) fn named(&self) -> Vec<String> {
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
