//! Runs stand-ins for the platform's log and three workers until it is interrupted.
//!
//! Writes settings that use them, for an entry, three agents and the operators' client, so
//! that the daemons can be run by hand.

use cassiarock_settings::{Agent, Client, Entry};
use cassiarock_test_support::log::Stand;
use cassiarock_test_support::worker::Worker;
use serde::Serialize;
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

const USAGE: &str = "usage: stand_ins DIRECTORY";
/// The shared key of the processes that are run by hand.
const KEY: &str = "a key for trials by hand";
const AGENTS: usize = 3;

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn Error>> {
    let Some(directory) = std::env::args().nth(1) else {
        eprintln!("{USAGE}");
        return Ok(ExitCode::from(2));
    };
    let directory = Path::new(&directory);
    std::fs::create_dir_all(directory)?;
    let log = Stand::start().await?;
    let mut workers = Vec::new();
    for number in 1..=AGENTS {
        let worker = Worker::new()?;
        let name = format!("agent-{number}");
        let agent = Agent::new(name.as_str(), "dc-1", log.url(), KEY).with_worker(worker.url());
        write_settings(directory, &name, &agent)?;
        workers.push(worker);
    }
    write_entry(directory, &log.url())?;
    println!(
        "the log is at {}, settings are in {}",
        log.url(),
        directory.display()
    );
    println!("interrupt to end");
    tokio::signal::ctrl_c().await?;
    let started: usize = workers.iter().map(Worker::total).sum();
    println!("{started} tasks started");
    Ok(ExitCode::SUCCESS)
}

/// Writes the settings of the entry and the client. The client has to know the entry's ports,
/// so free ones are chosen here.
fn write_entry(directory: &Path, log: &str) -> Result<(), Box<dyn Error>> {
    let mut entry = Entry::new("entry-1", "dc-1", log, KEY);
    entry.callers = free_port()?;
    entry.metrics = free_port()?;
    let mut client = Client::new("operator", log);
    client.entries = vec![format!("http://{}", entry.callers)];
    client.status = vec![format!("http://{}", entry.metrics)];
    write_settings(directory, "entry-1", &entry)?;
    write_settings(directory, "client", &client)
}

fn free_port() -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn write_settings(
    directory: &Path,
    name: &str,
    settings: &impl Serialize,
) -> Result<(), Box<dyn Error>> {
    let text = serde_json::to_string_pretty(settings)?;
    std::fs::write(directory.join(format!("{name}.jsonc")), text)?;
    Ok(())
}
