//! The set-up of logging: lines on stderr, as text or as JSON, or on the platform lines of
//! JSON on standard output; no files, since the VMs keep nothing.

use cassiarock_process::Outlet;
use cassiarock_settings::Format;
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, WriteMode, json_format};
use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Record};
use serde::ser::{Serialize, SerializeMap, Serializer};
use std::io::{self, Write};
use std::time::Duration;

/// What is logged unless the variable `RUST_LOG` says otherwise.
const LEVEL: &str = "info";

/// Under load each task has a log line, and a system call for each line would cost more
/// than the placement it tells of. Lines are gathered up to this many bytes.
const BUFFER: usize = 64 << 10;

/// How long a line may wait in the buffer: what a killed process may fail to tell.
const FLUSH: Duration = Duration::from_millis(100);

/// Starts logging. Lines still buffered are written when the handle is dropped.
pub fn start(format: Format) -> Result<LoggerHandle, FlexiLoggerError> {
    tell_panics();
    let logger = Logger::try_with_env_or_str(LEVEL)?
        .log_to_stderr()
        .write_mode(WriteMode::BufferAndFlushWith(BUFFER, FLUSH));
    match format {
        Format::Text => logger.format(text).start(),
        Format::Json => logger.format(json_format).start(),
    }
}

/// Logs each panic, with its place. Whether the process goes on depends on the part that it
/// happened in.
fn tell_panics() {
    std::panic::set_hook(Box::new(|panic| log::error!("panic: {panic}")));
}

/// Time, level, module, text, then the pairs as `key=value`.
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
    let visited = record.key_values().visit(&mut Pairs { out });
    visited.map_err(io::Error::other)
}

/// Writes pairs one after the other.
struct Pairs<'a> {
    out: &'a mut dyn Write,
}

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.out, " {key}={}", quoted(&value.to_string()))?;
        Ok(())
    }
}

/// Callers choose ids, kinds and teams. A line break among them would forge a log line,
/// so control characters are written as escapes.
fn single_line(text: &str) -> String {
    if !text.contains(char::is_control) {
        return text.to_owned();
    }
    text.escape_debug().to_string()
}

/// A value with blanks, quotes or control characters is quoted, so that pairs stay apart.
fn quoted(value: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}

/// What most lines take, in bytes.
const LINE: usize = 512;

/// Starts logging to standard output, one JSON object a line. No line makes the process wait:
/// under load or before a reader that has stopped, lines are left out and counted.
pub fn start_bounded(process: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    tell_panics();
    let outlet = Outlet::new(io::stdout());
    let process = process.to_owned();
    Logger::try_with_env_or_str(LEVEL)?
        .log_to_writer(Box::new(Bounded { outlet, process }))
        .start()
}

/// How long a process that ends waits for its last lines to be written.
const LAST: Duration = Duration::from_millis(200);

/// Hands lines over to an outlet.
struct Bounded {
    outlet: Outlet,
    /// Whose lines they are, so that those of all processes can be put together.
    process: String,
}

impl LogWriter for Bounded {
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
        self.outlet.drain(LAST);
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
}

impl Bounded {
    /// Written straight to text: with an object of values in between, a busy entry took a
    /// seventh more processor time.
    fn line(&self, at: &str, what: &str, record: &Record<'_>) -> Result<String, serde_json::Error> {
        let mut text = Vec::with_capacity(LINE);
        let mut json = serde_json::Serializer::new(&mut text);
        let mut line = json.serialize_map(None)?;
        line.serialize_entry("at", at)?;
        line.serialize_entry("level", record.level().as_str())?;
        line.serialize_entry("process", &self.process)?;
        line.serialize_entry("what", what)?;
        let mut fields = Fields { line: &mut line };
        let visited = record.key_values().visit(&mut fields);
        visited.map_err(serde::ser::Error::custom)?;
        line.end()?;
        String::from_utf8(text).map_err(serde::ser::Error::custom)
    }
}

/// Puts pairs into a line.
struct Fields<'a, M> {
    line: &'a mut M,
}

impl<'kvs, M: SerializeMap<Error = serde_json::Error>> VisitSource<'kvs> for Fields<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let key = key.as_str();
        let written = match (value.to_i64(), value.to_bool()) {
            (Some(number), _) => self.line.serialize_entry(key, &number),
            (None, Some(flag)) => self.line.serialize_entry(key, &flag),
            (None, None) => self.line.serialize_entry(key, &Shown(&value)),
        };
        written.map_err(Error::boxed)
    }
}

/// A value as the text that it shows.
struct Shown<'a>(&'a Value<'a>);

impl Serialize for Shown<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self.0)
    }
}
