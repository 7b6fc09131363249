//! `why`.

use crate::{Error, Report, RequestTrace, Why};
use std::io::Read;

/// Reads the logs and prints the trace of the request.
pub fn run(why: &Why) -> Result<Report, Error> {
    let mut text = String::new();
    if why.logs.is_empty() {
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|error| input_error("standard input", &error))?;
    }
    for log in &why.logs {
        let bytes = std::fs::read(log);
        let bytes = bytes.map_err(|error| input_error(&log.display().to_string(), &error))?;
        text.push_str(&String::from_utf8_lossy(&bytes));
        text.push('\n');
    }
    let trace = RequestTrace::new(&why.id, text.lines()).ok_or_else(|| Error::NotFound {
        step: "explain a request",
        what: format!("line about `{}` in these logs", why.id),
    })?;
    Ok(Report::new(&trace, &trace))
}

fn input_error(input: &str, error: &std::io::Error) -> Error {
    Error::Input {
        input: input.to_owned(),
        reason: error.to_string(),
    }
}
