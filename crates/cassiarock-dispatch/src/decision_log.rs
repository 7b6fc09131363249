//! Writes the decisions of schedulers and hosts to the log.

use cassiarock_transient::Decision;
use log::kv::{Error, Key, Source, Value, VisitSource};
use log::{Level, Record};

/// The log target of decisions.
const TARGET: &str = "cassiarock::decision";

/// The key-value pairs of a decision's log record.
struct Pairs<'a>(&'a Decision);

impl Source for Pairs<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), Error> {
        let Decision {
            request,
            job,
            fields,
            ..
        } = self.0;
        if !request.is_empty() {
            visitor.visit_pair(Key::from_str("request"), Value::from(&**request))?;
        }
        if !job.is_empty() {
            visitor.visit_pair(Key::from_str("job"), Value::from(&**job))?;
        }
        for (name, value) in fields {
            visitor.visit_pair(Key::from_str(name), Value::from(value.as_str()))?;
        }
        Ok(())
    }
}

/// Counts a decision and writes it to the log.
pub(crate) fn log_decision(decision: &Decision) {
    metrics::counter!("cassiarock_decisions_total", "what" => decision.kind).increment(1);
    let level = if decision.is_failure {
        Level::Warn
    } else {
        Level::Info
    };
    if level > log::max_level() {
        return;
    }
    let pairs = Pairs(decision);
    log::logger().log(
        &Record::builder()
            .target(TARGET)
            .level(level)
            .args(format_args!("{}", decision.kind))
            .key_values(&pairs)
            .build(),
    );
}
