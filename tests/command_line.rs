//! Tests of both binaries, run as processes.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_settings::{Agent, Entry, Format};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Lines};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use yare::parameterized;

const DAEMON: &str = env!("CARGO_BIN_EXE_cassiarockd");
const CLIENT: &str = env!("CARGO_BIN_EXE_cassiarock");

/// The number of settings files written so far.
static SETTINGS_FILES: AtomicU32 = AtomicU32::new(0);

/// Options that mark those examples of the client that need no running system.
const OFFLINE_OPTIONS: [&str; 2] = ["--config", "--role"];

/// Runs a binary in the root of the repository, to which the paths in the examples are
/// relative.
fn run(program: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(program);
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    command.args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Returns the lines under `Examples:` that begin with `name`, without it.
fn examples<'a>(help: &'a str, name: &str) -> Vec<Vec<&'a str>> {
    help.lines()
        .skip_while(|line| !line.contains("Examples:"))
        .filter_map(|line| line.trim().strip_prefix(name))
        .map(|line| line.split_whitespace().collect())
        .collect()
}

// A process with a misspelt field started with the default of a limit that the operator had set.
#[parameterized(
    entry = { DAEMON, &["entry", "--settings"], "entry", "drain_limit", "drain_limt" },
    agent = { DAEMON, &["agent", "--settings"], "agent", "slots", "slot" },
    client = { CLIENT, &["status", "--settings"], "client", "timeout", "time_out" },
)]
fn an_unknown_field_stops_the_process_at_startup(
    program: &str,
    arguments: &[&str],
    example: &str,
    right: &str,
    wrong: &str,
) {
    let example = format!(
        "{}/settings/andes/{example}.jsonc",
        env!("CARGO_MANIFEST_DIR")
    );
    let settings = std::fs::read_to_string(example).unwrap();
    let file = std::env::temp_dir().join(format!("{wrong}-{}.jsonc", std::process::id()));
    let name = file.to_str().unwrap();
    std::fs::write(
        &file,
        settings.replace(&format!("\"{right}\""), &format!("\"{wrong}\"")),
    )
    .unwrap();

    let started_at = Instant::now();
    let output = run(program, &[arguments, &[name]].concat());
    let elapsed = started_at.elapsed();
    std::fs::remove_file(&file).unwrap();

    let stderr = text(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
    let expected = format!("{name}: field `{wrong}`: unknown; did you mean `{right}`?");
    assert!(stderr.contains(&expected), "{stderr}");
    assert!(output.stdout.is_empty());
}

#[parameterized(whole = { &["--help"] }, entry = { &["entry", "--help"] }, agent = { &["agent", "--help"] })]
fn the_examples_of_the_daemon_work(arguments: &[&str]) {
    let output = run(DAEMON, arguments);
    assert!(output.status.success());
    let help = text(&output.stdout);
    let examples = examples(&help, "cassiarockd ");
    assert!(!examples.is_empty(), "{help}");
    for mut example in examples {
        // The addresses in the examples belong to other machines, so the settings are only checked.
        if !example.contains(&"--check") {
            example.push("--check");
        }
        let output = run(DAEMON, &example);
        assert!(
            output.status.success(),
            "{example:?}: {}",
            text(&output.stderr)
        );
    }
}

#[test]
fn the_offline_examples_of_the_client_work() {
    let mut count = 0;
    for path in [&["rules", "check"][..], &["settings", "check"]] {
        let help = text(&run(CLIENT, &[path, &["--help"]].concat()).stdout);
        let examples = examples(&help, "cassiarock ").into_iter();
        for example in
            examples.filter(|words| words.iter().any(|word| OFFLINE_OPTIONS.contains(word)))
        {
            let output = run(CLIENT, &example);
            assert!(
                output.status.success(),
                "{example:?}: {}",
                text(&output.stderr)
            );
            count += 1;
        }
    }
    assert_eq!(count, 3);
}

#[parameterized(daemon = { DAEMON, &["keeper"] }, client = { CLIENT, &["rule", "list"] })]
fn an_invalid_command_line_exits_with_code_2(program: &str, arguments: &[&str]) {
    let output = run(program, arguments);
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
}

#[test]
fn there_are_two_binaries() {
    let manifest = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");
    let output = Command::new(env!("CARGO"))
        .args([
            "metadata",
            "--no-deps",
            "--offline",
            "--format-version",
            "1",
        ])
        .args(["--manifest-path", manifest])
        .output()
        .unwrap();
    let metadata: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let packages = metadata["packages"].as_array().unwrap();
    let targets = packages
        .iter()
        .flat_map(|package| package["targets"].as_array().unwrap());
    let binaries = targets.filter(|target| target["kind"][0] == "bin");
    let mut names: Vec<&str> = binaries
        .map(|target| target["name"].as_str().unwrap())
        .collect();
    names.sort_unstable();
    assert_eq!(names, ["cassiarock", "cassiarockd"]);
}

/// A daemon that listens, with the lines that it has logged.
struct Daemon {
    child: Child,
    lines: Lines<BufReader<ChildStderr>>,
    log: Vec<String>,
    settings: PathBuf,
}

impl Daemon {
    /// Starts `role` on ephemeral ports, with an unreachable log, and waits until it listens.
    fn start(role: &str, format: Format) -> Self {
        let settings = write_idle_settings(role, format);
        let mut child = Command::new(DAEMON)
            .args([role, "--settings", settings.to_str().unwrap()])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut daemon = Self {
            child,
            lines,
            log: Vec::new(),
            settings,
        };
        daemon.wait_for("listening");
        daemon
    }

    fn signal(&self, signal: Signal) {
        let process = Pid::from_raw(i32::try_from(self.child.id()).unwrap());
        kill(process, signal).unwrap();
    }

    /// Waits until it logs a line that contains `text`.
    fn wait_for(&mut self, text: &str) {
        while !self.log.last().is_some_and(|line| line.contains(text)) {
            let line = self.lines.next().expect("the process has ended");
            self.log.push(line.unwrap());
        }
    }

    /// Sends SIGTERM and returns the exit code and all log lines.
    fn terminate(mut self) -> (Option<i32>, Vec<String>) {
        self.signal(Signal::SIGTERM);
        self.log.extend(self.lines.map(Result::unwrap));
        std::fs::remove_file(self.settings).unwrap();
        (self.child.wait().unwrap().code(), self.log)
    }
}

/// Writes a settings file for a process without work.
fn write_idle_settings(role: &str, format: Format) -> PathBuf {
    let (log, key) = ("http://127.0.0.1:1", "0123456789abcdef");
    let settings = if role == "entry" {
        let mut entry = Entry::new(role, "andes-1", log, key);
        entry.log_format = format;
        serde_json::to_string(&entry)
    } else {
        let mut agent = Agent::new(role, "andes-1", log, key);
        agent.log_format = format;
        // Without a log it cannot announce its departure, and retries until the drain limit.
        agent.drain_limit = Duration::from_secs(1);
        serde_json::to_string(&agent)
    };
    // Several tests of one program start the same role.
    let number = SETTINGS_FILES.fetch_add(1, Ordering::Relaxed);
    let file = format!("idle-{role}-{number}-{}.jsonc", std::process::id());
    let file = std::env::temp_dir().join(file);
    std::fs::write(&file, settings.unwrap()).unwrap();
    file
}

// The replacement of an idle process waited until the platform killed it.
#[parameterized(entry = { "entry" }, agent = { "agent" })]
fn an_idle_process_exits_cleanly_on_sigterm(role: &str) {
    let (code, log) = Daemon::start(role, Format::Text).terminate();
    assert_eq!(code, Some(0), "{log:?}");
    assert!(
        log.iter().any(|line| line.contains("signal: drain")),
        "{log:?}"
    );
}

// SIGHUP killed the process, and its callers were left without an answer.
#[parameterized(entry = { "entry" }, agent = { "agent" })]
fn a_hangup_does_not_end_a_process(role: &str) {
    let mut daemon = Daemon::start(role, Format::Text);
    daemon.signal(Signal::SIGHUP);
    daemon.wait_for("SIGHUP: ignored");
    let (code, log) = daemon.terminate();
    assert_eq!(code, Some(0), "{log:?}");
}

#[test]
fn every_json_log_line_is_an_object() {
    let (_, log) = Daemon::start("entry", Format::Json).terminate();
    for line in log {
        let line: serde_json::Value = serde_json::from_str(&line).unwrap();
        assert!(
            line["level"].is_string() && line["text"].is_string(),
            "{line}"
        );
    }
}
