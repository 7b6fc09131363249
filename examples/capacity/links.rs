//! Measures what one more link costs while no job runs, which is the control traffic.

use crate::child::{ChildProcess, POLL_INTERVAL};
use crate::sample::{self, fit_line};
use cassiarock_process::Status;
use cassiarock_test_support::log::Stand;
use serde_json::{Value, json};
use std::error::Error;
use std::time::{Duration, Instant};

/// The number of agents in each of the three runs.
const AGENTS: [usize; 3] = [11, 44, 132];

/// The number of entries in each run.
const ENTRIES: usize = 3;

/// How long an idle system is measured.
const MEASURE_TIME: Duration = Duration::from_secs(8);

/// How long to wait for all links.
const LINK_TIMEOUT: Duration = Duration::from_secs(60);

/// The figures of one run, for one entry and one agent.
struct Run {
    agents: f64,
    entry: NodeFigures,
    agent: NodeFigures,
}

/// The use of resources by one node.
struct NodeFigures {
    /// Bytes written to links per second.
    bytes: f64,
    /// Processor seconds per second.
    cpu: f64,
    /// Resident memory in bytes.
    memory: f64,
}

pub async fn measure() -> Result<Value, Box<dyn Error>> {
    println!("idle, {ENTRIES} entries: for one entry and one agent, a second");
    println!(
        "{:>8} {:>14} {:>12} {:>14} {:>14} {:>12}",
        "agents", "entry bytes", "entry cpu", "entry memory", "agent bytes", "agent cpu"
    );
    let mut runs = Vec::new();
    for agents in AGENTS {
        let run = run(agents).await?;
        println!(
            "{:>8} {:>14.0} {:>11.3}% {:>11.1} MB {:>14.0} {:>11.3}%",
            agents,
            run.entry.bytes,
            run.entry.cpu * 100.0,
            run.entry.memory / 1e6,
            run.agent.bytes,
            run.agent.cpu * 100.0
        );
        runs.push(run);
    }
    Ok(slopes(&runs))
}

async fn run(agents: usize) -> Result<Run, Box<dyn Error>> {
    let log = Stand::start().await?;
    let entries = ChildProcess::start("entries", ENTRIES, &log.url())?;
    let agent_process = ChildProcess::start("agents", agents, &log.url())?;
    let entry = entries.addresses("monitor");
    wait_until_linked(&entry, agents + ENTRIES - 1).await?;
    let agent = agent_process.addresses("monitor");
    let (entry_usage, agent_usage) = tokio::join!(
        sample::measure(entries.id(), &entry[0], MEASURE_TIME),
        sample::measure(agent_process.id(), &agent[0], MEASURE_TIME),
    );
    Ok(Run {
        agents: agents as f64,
        entry: per_node(entry_usage?, ENTRIES),
        agent: per_node(agent_usage?, agents),
    })
}

/// The figures of one node, given those of a process that runs `count` nodes.
fn per_node((last, usage): (sample::Sample, sample::Usage), count: usize) -> NodeFigures {
    let node_seconds = usage.seconds * count as f64;
    NodeFigures {
        bytes: usage.bytes / node_seconds,
        cpu: usage.cpu / node_seconds,
        memory: last.memory / count as f64,
    }
}

/// Waits until each entry is linked to every agent and to the other entries.
pub async fn wait_until_linked(monitors: &[String], links: usize) -> Result<(), Box<dyn Error>> {
    let started_at = Instant::now();
    for monitor in monitors {
        loop {
            let status = reqwest::get(format!("http://{monitor}/status")).await?;
            let status: Status = status.json().await?;
            if status.links >= links {
                break;
            }
            if started_at.elapsed() > LINK_TIMEOUT {
                return Err(format!("{} of {links} links after a minute", status.links).into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

fn slopes(runs: &[Run]) -> Value {
    let slope_of = |value: fn(&Run) -> f64| {
        let points: Vec<_> = runs.iter().map(|run| (run.agents, value(run))).collect();
        let (slope, intercept) = fit_line(&points);
        json!({ "per_agent": slope, "fixed": intercept })
    };
    let slopes = json!({
        "entry_bytes_s": slope_of(|run| run.entry.bytes),
        "entry_cpu": slope_of(|run| run.entry.cpu),
        "entry_memory": slope_of(|run| run.entry.memory),
        "agent_bytes_s": slope_of(|run| run.agent.bytes),
        "agent_cpu": slope_of(|run| run.agent.cpu),
        "agent_memory": slope_of(|run| run.agent.memory),
    });
    println!("slopes by agent: {slopes}\n");
    slopes
}
