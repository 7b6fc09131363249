//! A whole cluster in one process, shared by the examples: real entries and agents on loopback
//! sockets, with stand-ins for the log and the workers.

#![allow(dead_code, reason = "each example uses only some of the items")]

use cassiarock_test_support::log::Stand;
use cassiarock_test_support::worker::{Tally, Worker};
use std::error::Error;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// The key shared by entries and agents, all of which end with the example.
const KEY: &str = "the examples' own key";

/// How long to wait for each agent to be ready and for each entry to have its links.
const LINK_TIMEOUT: Duration = Duration::from_secs(30);

/// The number of data centres that agents and entries are spread over.
const DATA_CENTRES: usize = 3;

/// The running stand-ins, agents and entries. Dropping it stops them.
pub struct Cluster {
    pub log: Stand,
    pub workers: Vec<Worker>,
    pub agents: Vec<cassiarock_agent::Running>,
    pub entries: Vec<cassiarock_entry::Running>,
}

/// How many entries, agents and slots per agent to run, and under which policy.
#[derive(Clone, Debug)]
pub struct Size {
    pub entries: usize,
    pub agents: usize,
    pub slots: usize,
    pub policy: cassiarock_settings::Policy,
}

impl Default for Size {
    /// The sizes of the users' present deployment.
    fn default() -> Self {
        Self {
            entries: 3,
            agents: 11,
            slots: 8,
            policy: cassiarock_settings::Policy::default(),
        }
    }
}

impl Cluster {
    /// Starts the whole cluster and waits until every entry is linked to every agent.
    pub async fn start(size: &Size) -> Result<Self, Box<dyn Error>> {
        let log = Stand::start().await?;
        let mut workers = Vec::new();
        let mut agents = Vec::new();
        for number in 0..size.agents {
            let worker = Worker::new()?;
            agents.push(
                cassiarock_agent::Running::start(agent_settings(size, number, &log, &worker))
                    .await?,
            );
            workers.push(worker);
        }
        let mut entries = Vec::new();
        for number in 0..size.entries {
            let data_centre = format!("dc-{}", number % DATA_CENTRES + 1);
            let name = format!("entry-{}", number + 1);
            let mut settings = cassiarock_settings::Entry::new(
                name.as_str(),
                data_centre.as_str(),
                log.url(),
                KEY,
            );
            settings.policy = size.policy.clone();
            entries.push(cassiarock_entry::Running::start(settings).await?);
        }
        let cluster = Self {
            log,
            workers,
            agents,
            entries,
        };
        cluster.wait_until_linked().await?;
        Ok(cluster)
    }

    /// Base URLs of the callers' API.
    pub fn urls(&self) -> Vec<String> {
        let entries = self.entries.iter();
        entries
            .map(|entry| format!("http://{}", entry.addresses().callers))
            .collect()
    }

    /// The sum of the tallies of all workers.
    pub fn tally(&self) -> Tally {
        let mut total = Tally::default();
        for worker in &self.workers {
            total.add(&worker.tally());
        }
        total
    }

    async fn wait_until_linked(&self) -> Result<(), Box<dyn Error>> {
        let agents = self.agents.iter().map(cassiarock_agent::Running::status);
        for mut status in agents {
            timeout(LINK_TIMEOUT, status.wait_for(|now| now.ready)).await??;
        }
        for entry in &self.entries {
            let mut status = entry.status();
            let linked = status.wait_for(|now| now.links >= self.agents.len());
            timeout(LINK_TIMEOUT, linked).await??;
        }
        Ok(())
    }
}

fn agent_settings(
    size: &Size,
    number: usize,
    log: &Stand,
    worker: &Worker,
) -> cassiarock_settings::Agent {
    let data_centre = format!("dc-{}", number % DATA_CENTRES + 1);
    let rack = format!("rack-{}", number / 3 + 1);
    let name = format!("agent-{}", number + 1);
    let agent =
        cassiarock_settings::Agent::new(name.as_str(), data_centre.as_str(), log.url(), KEY);
    cassiarock_settings::Agent {
        slots: size.slots,
        weight: size.policy.weight,
        ..agent.with_rack(rack.as_str()).with_worker(worker.url())
    }
}

/// A shutdown signal that stays at the running stage.
pub fn never() -> watch::Receiver<cassiarock_process::Stage> {
    watch::channel(cassiarock_process::Stage::Run).1
}
