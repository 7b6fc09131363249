//! Child processes of tests: started, signalled by their id, and killed in the end.

mod output;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use output::Output;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// How long a start may take: many times what it takes, as the machine may be busy.
const START: Duration = Duration::from_secs(20);
/// Children started so far.
static STARTED: AtomicU64 = AtomicU64::new(0);
/// How often an ended process is looked for.
const POLL: Duration = Duration::from_millis(5);

/// A running `cassiarockd`. Dropping it kills it; if the test panics, what it wrote to
/// stderr is printed.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: std::process::Child,
    settings: PathBuf,
    output: Output,
    addresses: Vec<(String, SocketAddr)>,
}

impl Child {
    /// Starts `program ROLE --settings FILE` and waits until it says where it listens.
    /// The file goes into `directory`; its name and the child's come from `name`.
    ///
    /// # Errors
    /// If the file cannot be written, or the process does not come up; the error then
    /// holds what it wrote.
    pub fn start(
        program: impl AsRef<Path>,
        role: &str,
        name: &str,
        settings: &impl Serialize,
        directory: impl AsRef<Path>,
    ) -> io::Result<Self> {
        let file = write(directory.as_ref(), name, settings)?;
        let mut process = Command::new(program.as_ref())
            .args([role, "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let stderr = process.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut child = Self {
            name: name.to_owned(),
            process,
            settings: file,
            output: Output::new(stderr),
            addresses: Vec::new(),
        };
        child.addresses = child.output.addresses(START).ok_or_else(|| {
            let text = child.output.text();
            io::Error::other(format!("{name} does not listen; it wrote:\n{text}"))
        })?;
        Ok(child)
    }

    /// Starts `program ROLE --platform FILE`, where the platform's settings already stand in
    /// `file`. What it writes to standard output is kept.
    ///
    /// # Errors
    /// If the process does not start.
    pub fn on_platform(
        program: impl AsRef<Path>,
        role: &str,
        name: &str,
        file: impl AsRef<Path>,
    ) -> io::Result<Self> {
        let mut process = Command::new(program.as_ref())
            .args([role, "--platform"])
            .arg(file.as_ref())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()?;
        let stdout = process.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        Ok(Self {
            name: name.to_owned(),
            process,
            // The file is whoever wrote it's: a restarted process reads it again.
            settings: PathBuf::new(),
            output: Output::new(stdout),
            addresses: Vec::new(),
        })
    }

    /// Tells it that its settings have changed (SIGHUP).
    pub fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Where it listens for `what`: `callers`, `peers` or `monitor`.
    ///
    /// # Panics
    /// If it did not say.
    #[must_use]
    pub fn address(&self, what: &str) -> SocketAddr {
        let found = self.addresses.iter().find(|(key, _)| key == what);
        let Some((_, address)) = found else {
            panic!("{} does not listen for {what}", self.name);
        };
        *address
    }

    /// The address for `what` as an HTTP base URL.
    #[must_use]
    pub fn url(&self, what: &str) -> String {
        format!("http://{}", self.address(what))
    }

    /// What it wrote to stderr so far.
    #[must_use]
    pub fn output(&self) -> String {
        self.output.text()
    }

    /// Stops it in its tracks, with all connections open (SIGSTOP).
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks it to drain and end (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Asks it to drain and end, as an operator at a terminal does (SIGINT).
    pub fn interrupt(&self) {
        self.signal(Signal::SIGINT);
    }

    /// Whether it has a handler for `signal`, by the system's record of the process.
    ///
    /// # Errors
    /// If the process is gone, or its record has no such entry.
    pub fn handles(&self, signal: Signal) -> io::Result<bool> {
        let record = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()))?;
        let mut lines = record.lines();
        let caught = lines.find_map(|line| line.strip_prefix("SigCgt:"));
        let caught = caught.ok_or(io::ErrorKind::InvalidData)?;
        let caught = u64::from_str_radix(caught.trim(), 16).map_err(io::Error::other)?;
        Ok(caught >> (signal as u32 - 1) & 1 == 1)
    }

    /// Its exit status, if it has ended.
    ///
    /// # Errors
    /// If the system does not tell.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.process.try_wait()
    }

    /// The most memory that it ever had resident, in bytes.
    ///
    /// # Errors
    /// If the process is gone, or its record has no such entry.
    pub fn peak_memory(&self) -> io::Result<u64> {
        self.memory("VmHWM:")
    }

    /// The memory that it has resident, in bytes.
    ///
    /// # Errors
    /// If the process is gone, or its record has no such entry.
    pub fn resident_memory(&self) -> io::Result<u64> {
        self.memory("VmRSS:")
    }

    /// How many descriptors it has open.
    ///
    /// # Errors
    /// If the process is gone.
    pub fn descriptors(&self) -> io::Result<usize> {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.process.id()))?;
        Ok(open.count())
    }

    /// An entry in KiB of the system's record of the process, in bytes.
    fn memory(&self, entry: &str) -> io::Result<u64> {
        let record = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()))?;
        let value = record.lines().find_map(|line| line.strip_prefix(entry));
        let value = value.and_then(|value| value.trim().strip_suffix(" kB"));
        let value = value.ok_or(io::ErrorKind::InvalidData)?;
        let kib: u64 = value.trim().parse().map_err(io::Error::other)?;
        Ok(kib << 10)
    }

    /// Ends it at once (SIGKILL) and waits until it is gone.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Its exit status, if it ends within `limit`.
    ///
    /// # Errors
    /// If the system does not tell.
    pub async fn ended(&mut self, limit: Duration) -> io::Result<Option<ExitStatus>> {
        let until = Instant::now() + limit;
        loop {
            let status = self.process.try_wait()?;
            if status.is_some() || Instant::now() >= until {
                return Ok(status);
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// A child that has ended and was waited for has an id that may be another's now.
    fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.process.id()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
        if std::thread::panicking() {
            eprintln!("--- {} wrote:\n{}", self.name, self.output.text());
        }
    }
}

fn write(directory: &Path, name: &str, settings: &impl Serialize) -> io::Result<PathBuf> {
    // Tests of one binary run at once and start children of the same names; the time is too
    // coarse to tell their files apart.
    let count = STARTED.fetch_add(1, Ordering::Relaxed);
    let unique = format!("{name}-{}-{count}.jsonc", std::process::id());
    let file = directory.join(unique);
    let text = serde_json::to_string_pretty(settings)?;
    std::fs::write(&file, text)?;
    Ok(file)
}
