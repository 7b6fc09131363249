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

/// What an agent learns at its start. `docs/SETTINGS.md` describes each field.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// This process's name, unlike that of every other entry and agent.
    pub name: Name,
    /// The data centre of this VM.
    pub data_centre: Name,
    /// The rack of this VM.
    pub rack: Name,
    /// The pool that rules send work to.
    pub pool: Name,
    /// Where the system's own processes connect.
    pub peers: SocketAddr,
    /// The address of `peers` as others reach it; by default `peers` as bound.
    #[serde(default)]
    pub peers_public: Option<SocketAddr>,
    /// Where metrics and status are served.
    pub metrics: SocketAddr,
    /// The address of `metrics` as others reach it; by default `metrics` as bound.
    #[serde(default)]
    pub metrics_public: Option<SocketAddr>,
    /// Base URL of the platform's log.
    pub log: String,
    /// The key shared by all processes of the system.
    pub key: Key,
    /// The form of log lines.
    #[serde(default)]
    pub log_format: Format,
    /// Base URL of the worker that this agent guards.
    pub worker: String,
    /// Tasks that run on the worker at a time.
    #[serde(default = "Agent::slots")]
    pub slots: usize,
    /// Connections to the worker at a time.
    #[serde(default = "Agent::connections")]
    pub connections: usize,
    /// What the worker has.
    #[serde(default)]
    pub capacity: Capacity,
    /// Whether response time or messages count more. Must be the same at all entries and
    /// agents.
    #[serde(default)]
    pub weight: Objective,
    /// The rhythm of health checks on the worker.
    #[serde(default)]
    pub health: Health,
    /// The bounds of the start ledger and of the keeper's claims.
    #[serde(default)]
    pub ledger: Ledger,
    /// How far the clocks of two VMs may differ. Must be the same everywhere.
    #[serde(default = "Entry::clock_skew")]
    #[serde_as(as = "Time")]
    pub clock_skew: Duration,
    /// Base URLs of other processes' monitors, entries best, to learn the state from while the
    /// log is down.
    #[serde(default)]
    pub neighbours: Vec<String>,
    /// How long the log keeps a record. Snapshots are written well before.
    #[serde(default = "Entry::log_retention")]
    #[serde_as(as = "Time")]
    pub log_retention: Duration,
    /// How long a drain may take before what is left is cut.
    #[serde(default = "Entry::drain_limit")]
    #[serde_as(as = "Time")]
    pub drain_limit: Duration,
}

impl Agent {
    /// An agent on loopback ports that the system draws, for tests and examples.
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
        let drawn = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: name.into(),
            data_centre: data_centre.into(),
            rack: "rack-1".into(),
            pool: "default".into(),
            peers: drawn,
            peers_public: None,
            metrics: drawn,
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

    /// The same agent before the worker at base URL `worker`.
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

    /// Checks ranges and what fields mean to one another; `file` is named in errors.
    ///
    /// ```
    /// use cassiarock_settings::Agent;
    /// let agent = Agent::new("agent-1", "andes-1", "http://127.0.0.1:7000", "short");
    /// assert!(agent.check("in memory").is_err());
    /// ```
    pub fn check(&self, file: &str) -> Result<(), Error> {
        self.checked().map_err(|problem| problem.in_file(file))
    }

    fn checked(&self) -> Check {
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
