//! Logging setup: text or JSON on stderr, or JSON on stdout when run on the users' platform.
//! Nothing is logged to files, since the VMs keep no data.

use cassiarock_process::Outlet;
use cassiarock_settings::Format;
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, WriteMode, json_format};
use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Record};
use serde::ser::{Serialize, SerializeMap, Serializer};
use std::io::{self, Write};
use std::time::Duration;

/// Default log level; the variable `RUST_LOG` overrides it.
const DEFAULT_LEVEL: &str = "info";

/// Size of the write buffer in bytes. Under load each task has a log line, and a system call
/// per line would cost more than the placement that the line reports.
const BUFFER_SIZE: usize = 64 << 10;

/// Longest time that a line stays in the buffer. A killed process may lose the lines of this
/// time.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Starts logging. Lines still buffered are written when the handle is dropped.
pub fn start(format: Format) -> Result<LoggerHandle, FlexiLoggerError> {
    log_panics();
    let logger = Logger::try_with_env_or_str(DEFAULT_LEVEL)?
        .log_to_stderr()
        .write_mode(WriteMode::BufferAndFlushWith(BUFFER_SIZE, FLUSH_INTERVAL));
    match format {
        Format::Text => logger.format(text).start(),
        Format::Json => logger.format(json_format).start(),
    }
}

/// Logs each panic with its source location. Whether the process continues depends on the
/// part of the program that panicked.
fn log_panics() {
    std::panic::set_hook(Box::new(|panic| log::error!("panic: {panic}")));
}

/// Writes time, level, module and text, then the pairs as `key=value`.
fn text(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let module = record.module_path().unwrap_or_default();
    let message = record.args().to_string();
    write!(
        out,
        "{} {:5} {module}",
        now.format_rfc3339(),
        record.level()
    )?;
    write!(out, " {}", single_line(&message))?;
    let visited = record.key_values().visit(&mut TextPairs { out });
    visited.map_err(io::Error::other)
}

/// Writes key-value pairs as text.
struct TextPairs<'a> {
    out: &'a mut dyn Write,
}

impl<'kvs> VisitSource<'kvs> for TextPairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.out, " {key}={}", quoted(&value.to_string()))?;
        Ok(())
    }
}

/// Escapes control characters. Callers choose ids, kinds and teams, and a line break in one
/// of them would forge a log line.
fn single_line(text: &str) -> String {
    if !text.contains(char::is_control) {
        return text.to_owned();
    }
    text.escape_debug().to_string()
}

/// Quotes a value that is empty or has whitespace, quotes, `=` or control characters, so that
/// the pairs of a line can be told apart.
fn quoted(value: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}

/// Initial capacity for a line in bytes; most lines fit.
const LINE_CAPACITY: usize = 512;

/// Starts logging to stdout, one JSON object a line. Logging never blocks the process: under
/// load, or when the reader has stopped, lines are dropped and counted.
pub fn start_bounded(process: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    log_panics();
    let outlet = Outlet::new(io::stdout());
    let process = process.to_owned();
    Logger::try_with_env_or_str(DEFAULT_LEVEL)?
        .log_to_writer(Box::new(OutletWriter { outlet, process }))
        .start()
}

/// Time limit for writing the remaining lines at shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// Formats records as JSON and passes them to a bounded outlet.
struct OutletWriter {
    outlet: Outlet,
    /// Name of the process, written into each line so that logs of all processes can be merged.
    process: String,
}

impl LogWriter for OutletWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let at = now.format_rfc3339();
        for omission in self.outlet.omissions() {
            let line = serde_json::json!({
                "at": at, "level": "WARN", "process": self.process, "what": "lines left out",
                "kind": omission.kind, "lines": omission.lines,
            });
            self.outlet.push("lines left out", true, line.to_string());
        }
        let what = record.args().to_string();
        let line = self.line(&at, &what, record);
        let kind = what.split(':').next().unwrap_or_default();
        let line = line.map_err(io::Error::other)?;
        self.outlet.push(kind, record.level() <= Level::Warn, line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn shutdown(&self) {
        self.outlet.drain(SHUTDOWN_TIMEOUT);
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
}

impl OutletWriter {
    /// Serializes a record directly to text. Building a JSON value first cost a busy entry a
    /// seventh more CPU time.
    fn line(&self, at: &str, what: &str, record: &Record<'_>) -> Result<String, serde_json::Error> {
        let mut text = Vec::with_capacity(LINE_CAPACITY);
        let mut json = serde_json::Serializer::new(&mut text);
        let mut line = json.serialize_map(None)?;
        line.serialize_entry("at", at)?;
        line.serialize_entry("level", record.level().as_str())?;
        line.serialize_entry("process", &self.process)?;
        line.serialize_entry("what", what)?;
        let mut fields = JsonPairs { line: &mut line };
        let visited = record.key_values().visit(&mut fields);
        visited.map_err(serde::ser::Error::custom)?;
        line.end()?;
        String::from_utf8(text).map_err(serde::ser::Error::custom)
    }
}

/// Writes key-value pairs as fields of a JSON object.
struct JsonPairs<'a, M> {
    line: &'a mut M,
}

impl<'kvs, M: SerializeMap<Error = serde_json::Error>> VisitSource<'kvs> for JsonPairs<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let key = key.as_str();
        let written = match (value.to_i64(), value.to_bool()) {
            (Some(number), _) => self.line.serialize_entry(key, &number),
            (None, Some(flag)) => self.line.serialize_entry(key, &flag),
            (None, None) => self.line.serialize_entry(key, &DisplayValue(&value)),
        };
        written.map_err(Error::boxed)
    }
}

/// Serializes a value as its display text.
struct DisplayValue<'a>(&'a Value<'a>);

impl Serialize for DisplayValue<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self.0)
    }
}
