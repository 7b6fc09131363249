//! The trace of one request, collected from the log lines of all processes.

mod cause;
mod line;

pub use line::LogLine;

use cause::cause;
use serde::Serialize;
use std::collections::BTreeSet;
use std::fmt;

/// The log lines about a request in order of time, with the cause of its outcome.
#[derive(Clone, Debug, Serialize)]
pub struct RequestTrace {
    /// The id of the request or job that was searched for.
    pub id: String,
    /// The lines about the request and its job, and the lines about no request that the
    /// processes involved logged meanwhile.
    pub lines: Vec<LogLine>,
    /// The decision that determined the outcome, with its inputs.
    pub cause: String,
}

impl RequestTrace {
    /// Collects the trace of the request or job `id`; `None` if no line is about it.
    ///
    /// ```
    /// use cassiarock_operator::RequestTrace;
    /// let log = r#"{"at":"00:00:00.100","process":"entry-1","what":"admitted","request":"r-1","job":"j"}
    /// {"at":"00:00:00.900","process":"entry-1","what":"refused","request":"r-1","job":"j","reason":"overload","queue":9}"#;
    /// let trace = RequestTrace::new("r-1", log.lines()).unwrap();
    /// assert!(trace.cause.contains("overload"));
    /// assert!(RequestTrace::new("r-2", log.lines()).is_none());
    /// ```
    pub fn new<'a>(id: &str, text: impl Iterator<Item = &'a str>) -> Option<Self> {
        let mut all: Vec<LogLine> = text.filter_map(LogLine::parse).collect();
        all.sort_by(|a, b| a.at.cmp(&b.at));
        let has_id = |line: &&LogLine| line.request == id || line.job == id;
        let jobs: BTreeSet<String> = all
            .iter()
            .filter(has_id)
            .map(|line| line.job.clone())
            .filter(|job| !job.is_empty())
            .collect();
        let is_about =
            |line: &LogLine| line.request == id || line.job == id || jobs.contains(&line.job);
        let about: Vec<&LogLine> = all.iter().filter(|line| is_about(line)).collect();
        let (first, last) = (about.first()?.at.clone(), about.last()?.at.clone());
        let processes: BTreeSet<String> = about.iter().map(|line| line.process.clone()).collect();
        let named: BTreeSet<String> = about
            .iter()
            .flat_map(|line| line.named_processes())
            .collect();
        let is_near = |line: &LogLine| {
            line.job.is_empty()
                && line.request.is_empty()
                && line.at >= first
                && line.at <= last
                && (processes.contains(&line.process) || named.contains(&line.process))
        };
        let keep = |line: &LogLine| is_about(line) || is_near(line);
        let lines: Vec<LogLine> = all.into_iter().filter(keep).collect();
        let cause = cause(&lines, is_about);
        Some(Self {
            id: id.to_owned(),
            lines,
            cause,
        })
    }
}

impl fmt::Display for RequestTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        write!(f, "cause: {}", self.cause)
    }
}
