//! The settings of an agent.

use crate::check::{self, Check};
use crate::units::Time;
use crate::{Capacity, Entry, Error, Format, Health, Key, Ledger, read};
use cassiarock_id::Name;
use cassiarock_policy::Objective;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

/// Settings that an agent reads at startup. `docs/SETTINGS.md` describes each field.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// The name of this process, unique among all entries and agents.
    pub name: Name,
    /// The data centre of this VM.
    pub data_centre: Name,
    /// The rack of this VM.
    pub rack: Name,
    /// The pool of this agent, to which rules route work.
    pub pool: Name,
    /// Listen address for the system's own processes.
    pub peers: SocketAddr,
    /// The address at which others reach `peers`; by default the bound address.
    #[serde(default)]
    pub peers_public: Option<SocketAddr>,
    /// Listen address for metrics and status.
    pub metrics: SocketAddr,
    /// The address at which others reach `metrics`; by default the bound address.
    #[serde(default)]
    pub metrics_public: Option<SocketAddr>,
    /// Base URL of the platform's log.
    pub log: String,
    /// The key shared by all processes of the system.
    pub key: Key,
    /// The format of log lines.
    #[serde(default)]
    pub log_format: Format,
    /// Base URL of the worker that this agent fronts.
    pub worker: String,
    /// Maximum number of tasks that run concurrently on the worker.
    #[serde(default = "Agent::slots")]
    pub slots: usize,
    /// Maximum number of concurrent connections to the worker.
    #[serde(default = "Agent::connections")]
    pub connections: usize,
    /// Resources of the worker.
    #[serde(default)]
    pub capacity: Capacity,
    /// Whether placement favours short response times or few messages. Must be the same at
    /// all entries and agents.
    #[serde(default)]
    pub weight: Objective,
    /// Health checks of the worker.
    #[serde(default)]
    pub health: Health,
    /// Retention limits of the start ledger and of the keeper's claims.
    #[serde(default)]
    pub ledger: Ledger,
    /// The largest difference between the clocks of two VMs. Must be the same at all processes.
    #[serde(default = "Entry::clock_skew")]
    #[serde_as(as = "Time")]
    pub clock_skew: Duration,
    /// Base URLs of other processes' monitoring listeners, preferably those of entries, from
    /// which the state is read while the log is down.
    #[serde(default)]
    pub neighbours: Vec<String>,
    /// How long the log keeps a record. Snapshots are written well before it expires.
    #[serde(default = "Entry::log_retention")]
    #[serde_as(as = "Time")]
    pub log_retention: Duration,
    /// How long a drain may take before the remaining work is cut off.
    #[serde(default = "Entry::drain_limit")]
    #[serde_as(as = "Time")]
    pub drain_limit: Duration,
}

impl Agent {
    /// An agent on ephemeral loopback ports, for tests and examples.
    ///
    /// ```
    /// use cassiarock_settings::Agent;
    /// let log = "http://127.0.0.1:7000";
    /// let agent = Agent::new("agent-1", "valle", log, "0123456789abcdef")
    ///     .with_pool("booking")
    ///     .with_worker("http://127.0.0.1:8000");
    /// assert_eq!(agent.slots, 8);
    /// assert!(agent.check("in memory").is_ok());
    /// ```
    pub fn new(
        name: impl Into<Name>,
        data_centre: impl Into<Name>,
        log: impl Into<String>,
        key: &str,
    ) -> Self {
        let ephemeral = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: name.into(),
            data_centre: data_centre.into(),
            rack: "rack-1".into(),
            pool: "default".into(),
            peers: ephemeral,
            peers_public: None,
            metrics: ephemeral,
            metrics_public: None,
            log: log.into(),
            key: Key::from(key),
            log_format: Format::default(),
            worker: "http://127.0.0.1:8000".to_owned(),
            slots: Self::slots(),
            connections: Self::connections(),
            capacity: Capacity::default(),
            weight: Objective::default(),
            health: Health::default(),
            ledger: Ledger::default(),
            clock_skew: Entry::clock_skew(),
            neighbours: Vec::new(),
            log_retention: Entry::log_retention(),
            drain_limit: Entry::drain_limit(),
        }
    }

    /// The same agent in pool `pool`.
    ///
    /// ```
    /// use cassiarock_settings::Agent;
    /// let agent = Agent::new("agent-1", "andes-1", "http://127.0.0.1:7000", "0123456789abcdef");
    /// assert_eq!(&*agent.with_pool("booking").pool, "booking");
    /// ```
    #[must_use]
    pub fn with_pool(self, pool: impl Into<Name>) -> Self {
        let pool = pool.into();
        Self { pool, ..self }
    }

    /// The same agent in rack `rack`.
    ///
    /// ```
    /// use cassiarock_settings::Agent;
    /// let agent = Agent::new("agent-1", "andes-1", "http://127.0.0.1:7000", "0123456789abcdef");
    /// assert_eq!(&*agent.with_rack("rack-2").rack, "rack-2");
    /// ```
    #[must_use]
    pub fn with_rack(self, rack: impl Into<Name>) -> Self {
        let rack = rack.into();
        Self { rack, ..self }
    }

    /// The same agent with the worker at base URL `worker`.
    ///
    /// ```
    /// use cassiarock_settings::Agent;
    /// let agent = Agent::new("agent-1", "andes-1", "http://127.0.0.1:7000", "0123456789abcdef");
    /// assert!(agent.with_worker("10.0.0.1:8000").check("in memory").is_err());
    /// ```
    #[must_use]
    pub fn with_worker(self, worker: impl Into<String>) -> Self {
        let worker = worker.into();
        Self { worker, ..self }
    }

    /// Reads and checks a settings file.
    ///
    /// ```
    /// use cassiarock_settings::Agent;
    /// assert!(Agent::load("no/such/file.jsonc").is_err());
    /// ```
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        Self::parse(&read::text(path)?, &path.display().to_string())
    }

    /// Parses and checks a text; `file` is named in errors.
    ///
    /// ```
    /// use cassiarock_settings::Agent;
    /// let error = Agent::parse("{}", "agent.jsonc").unwrap_err();
    /// assert!(error.to_string().starts_with("agent.jsonc: field `name`: missing"));
    /// ```
    pub fn parse(text: &str, file: &str) -> Result<Self, Error> {
        let settings: Self = read::parse(text, file)?;
        settings.check(file)?;
        Ok(settings)
    }

    /// Checks the range of each field and the consistency between fields; `file` is named in errors.
    ///
    /// ```
    /// use cassiarock_settings::Agent;
    /// let agent = Agent::new("agent-1", "andes-1", "http://127.0.0.1:7000", "short");
    /// assert!(agent.check("in memory").is_err());
    /// ```
    pub fn check(&self, file: &str) -> Result<(), Error> {
        self.check_fields().map_err(|problem| problem.in_file(file))
    }

    fn check_fields(&self) -> Check {
        check::name("name", &self.name)?;
        check::name("data_centre", &self.data_centre)?;
        check::name("rack", &self.rack)?;
        check::name("pool", &self.pool)?;
        check::distinct(&[("peers", self.peers), ("metrics", self.metrics)])?;
        check::reachable("peers_public", self.peers, self.peers_public)?;
        check::reachable("metrics_public", self.metrics, self.metrics_public)?;
        check::url("log", &self.log)?;
        check::urls("neighbours", &self.neighbours)?;
        self.key.check()?;
        check::url("worker", &self.worker)?;
        check::positive("slots", self.slots)?;
        check::positive("connections", self.connections)?;
        self.capacity.check()?;
        self.health.check()?;
        self.ledger.check()?;
        check::skew(self.clock_skew)?;
        check::retention(self.log_retention)?;
        check::drain(self.drain_limit)
    }

    const fn slots() -> usize {
        8
    }

    const fn connections() -> usize {
        64
    }
}
