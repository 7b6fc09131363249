//! Entries and agents as processes, each behind its proxies.

use cassiarock_id::Process;
use cassiarock_settings as settings;
use cassiarock_test_support::process::Child;
use cassiarock_test_support::proxy::{Fault, Proxy};
use cassiarock_test_support::worker::Worker;
use serde::Serialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a condition may take to hold: many times what it takes, as the machine may
/// be busy.
pub const PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(10);
pub const KEY: &str = "the failure tests' own key";
const DAEMON: &str = env!("CARGO_BIN_EXE_cassiarockd");

/// An agent, its worker, and the proxies between it and the others.
pub struct Agent {
    pub name: String,
    pub child: Child,
    pub worker: Worker,
    /// Before the agent, for entries.
    pub door: Proxy,
    /// Between the agent and the log.
    pub log: Proxy,
    /// Between the agent and its worker.
    pub inside: Proxy,
}

/// An entry and the proxy between it and the log.
pub struct Entry {
    pub name: String,
    pub child: Child,
    pub log: Proxy,
}

impl Agent {
    pub fn start(name: &str, log: SocketAddr) -> Self {
        let worker = Worker::new().unwrap();
        let inside = Proxy::new().unwrap().with_target(worker.address());
        let log = Proxy::new().unwrap().with_target(log);
        let door = Proxy::new().unwrap();
        let mut setting = settings::Agent::new(name, "dc-1", log.url(), KEY);
        setting.worker = inside.url();
        setting.peers_public = Some(door.address());
        let child = start("agent", name, &setting);
        door.set_target(child.address("peers"));
        Self {
            name: name.to_owned(),
            child,
            worker,
            door,
            log,
            inside,
        }
    }

    /// Waits until it can start tasks.
    pub async fn ready(&self) {
        let ready = |status: &Value| status["ready"] == true;
        until_status(&self.child, "ready", ready).await;
    }

    pub async fn process(&self) -> Process {
        let status = status(&self.child).await.unwrap();
        serde_json::from_value(status["process"].clone()).unwrap()
    }

    pub fn release(&self) {
        self.child.resume();
        for proxy in [&self.door, &self.log, &self.inside] {
            proxy.set_all(Fault::None);
        }
    }
}

impl Entry {
    pub fn start(name: &str, log: SocketAddr) -> Self {
        let log = Proxy::new().unwrap().with_target(log);
        let setting = settings::Entry::new(name, "dc-1", log.url(), KEY);
        let child = start("entry", name, &setting);
        let name = name.to_owned();
        Self { name, child, log }
    }

    /// Waits until it is linked to so many agents.
    pub async fn linked(&self, agents: usize) {
        let linked = |status: &Value| status["links"].as_u64() >= Some(agents as u64);
        until_status(&self.child, "linked", linked).await;
    }

    /// How many links it has.
    pub async fn links(&self) -> u64 {
        let status = status(&self.child).await.unwrap();
        status["links"].as_u64().unwrap()
    }

    /// Waits until it has noticed that one of so many links is gone. A start sent before
    /// may have run, whatever became of its receiver.
    pub async fn noticed(&self, links: u64) {
        let fewer = |status: &Value| status["links"].as_u64() < Some(links);
        until_status(&self.child, "noticed", fewer).await;
    }

    pub fn release(&self) {
        self.child.resume();
        self.log.set_all(Fault::None);
    }
}

pub fn start(role: &str, name: &str, setting: &impl Serialize) -> Child {
    Child::start(DAEMON, role, name, setting, env!("CARGO_TARGET_TMPDIR")).unwrap()
}

/// The status of a process, if it answers.
pub async fn status(child: &Child) -> Option<Value> {
    let url = format!("{}/status", child.url("monitor"));
    let response = client(Duration::from_secs(2)).get(url).send().await;
    response.ok()?.json().await.ok()
}

pub fn client(timeout: Duration) -> reqwest::Client {
    let builder = reqwest::Client::builder().no_proxy().timeout(timeout);
    builder.build().unwrap()
}

/// Waits until the status of `child` fulfils a condition.
pub async fn until_status(child: &Child, what: &str, holds: impl Fn(&Value) -> bool) {
    let give_up = Instant::now() + PATIENCE;
    loop {
        let last = status(child).await;
        if last.as_ref().is_some_and(&holds) {
            return;
        }
        let text = child.output();
        assert!(Instant::now() < give_up, "never {what}: {last:?}\n{text}");
        tokio::time::sleep(POLL).await;
    }
}

/// Waits until a condition holds.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let give_up = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < give_up, "never {what}");
        tokio::time::sleep(POLL).await;
    }
}
