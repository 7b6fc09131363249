//! The child processes that are measured: one runs all entries, one all agents with their
//! workers.

use cassiarock_settings as settings;
use cassiarock_test_support::worker::Worker;
use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle, WriteMode};
use serde_json::{Value, json};
use std::error::Error;
use std::io::Read;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const KEY: &str = "the examples' own key";

/// A child process that runs the nodes of one role. Dropping it kills the process.
pub struct ChildProcess {
    child: Child,
    /// The addresses of its nodes, as the process printed them.
    pub nodes: Value,
}

impl ChildProcess {
    /// Starts this program as `role` with `count` nodes and waits until they listen.
    pub fn start(role: &str, count: usize, log: &str) -> Result<Self, Box<dyn Error>> {
        let mut child = Command::new(std::env::current_exe()?)
            .args([role, &count.to_string(), log])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let output = child.stdout.take().ok_or("no standard output")?;
        let mut lines = std::io::BufRead::lines(std::io::BufReader::new(output));
        let line = lines
            .next()
            .ok_or("the child process ended before it listened")??;
        let nodes = serde_json::from_str(&line)?;
        Ok(Self { child, nodes })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The addresses of one kind, such as `monitor`, of all nodes.
    pub fn addresses(&self, kind: &str) -> Vec<String> {
        let nodes = self.nodes.as_array().into_iter().flatten();
        let addresses = nodes.filter_map(|node| node[kind].as_str());
        addresses.map(str::to_owned).collect()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Killing fails if the process has already ended, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs entries until standard input closes. Like the daemon they log their decisions,
/// a line for each placement.
pub async fn entries(count: usize, log: &str) -> Result<(), Box<dyn Error>> {
    let _logger = log_decisions()?;
    let mut running = Vec::new();
    for number in 0..count {
        let name = format!("entry-{number}");
        let entry = settings::Entry::new(name.as_str(), data_centre(number), log, KEY);
        running.push(cassiarock_entry::Running::start(entry).await?);
    }
    let nodes = running.iter().map(|entry| {
        let addresses = entry.addresses();
        json!({
            "callers": addresses.callers.to_string(),
            "monitor": addresses.monitor.to_string(),
        })
    });
    println!("{}", Value::from_iter(nodes));
    wait_for_stdin_close().await
}

/// Runs agents, each with a worker stand-in, until standard input closes.
pub async fn agents(count: usize, log: &str) -> Result<(), Box<dyn Error>> {
    let _logger = log_decisions()?;
    let mut running = Vec::new();
    for number in 0..count {
        let worker = Worker::new()?;
        let name = format!("agent-{number}");
        let agent = settings::Agent::new(name.as_str(), data_centre(number), log, KEY);
        let agent = agent.with_worker(worker.url());
        running.push((cassiarock_agent::Running::start(agent).await?, worker));
    }
    let nodes = running
        .iter()
        .map(|(agent, _)| json!({ "monitor": agent.monitor().to_string() }));
    println!("{}", Value::from_iter(nodes));
    wait_for_stdin_close().await
}

fn log_decisions() -> Result<LoggerHandle, FlexiLoggerError> {
    let mode = WriteMode::BufferAndFlush;
    Logger::try_with_str("info")?.write_mode(mode).start()
}

fn data_centre(number: usize) -> String {
    format!("dc-{}", number % 3 + 1)
}

async fn wait_for_stdin_close() -> Result<(), Box<dyn Error>> {
    let closed = tokio::task::spawn_blocking(|| std::io::stdin().read_to_end(&mut Vec::new()));
    closed.await??;
    Ok(())
}

/// The time between two checks of a condition that is waited for.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);
