//! The settings of an entry.

use crate::check::{self, Check};
use crate::units::Time;
use crate::{Error, Format, Key, Ledger, Limits, Policy, read};
use cassiarock_id::Name;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

/// Settings that an entry reads at startup. `docs/SETTINGS.md` describes each field.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The name of this process, unique among all entries and agents.
    pub name: Name,
    /// The data centre of this VM.
    pub data_centre: Name,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the system's own processes.
    pub peers: SocketAddr,
    /// The address at which others reach `peers`; by default the bound address.
    #[serde(default)]
    pub peers_public: Option<SocketAddr>,
    /// Listen address for metrics, status and explanations.
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
    /// Limits of the callers' API.
    #[serde(default)]
    pub limits: Limits,
    /// The largest difference between the clocks of two VMs. Must be the same at all processes.
    #[serde(default = "Entry::clock_skew")]
    #[serde_as(as = "Time")]
    pub clock_skew: Duration,
    /// How long the agents keep a job's record; equals their `ledger.age`.
    #[serde(default = "Entry::remembered")]
    #[serde_as(as = "Time")]
    pub remembered: Duration,
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
    /// Admission and placement.
    #[serde(default)]
    pub policy: Policy,
}

impl Entry {
    /// An entry on ephemeral loopback ports, for tests and examples.
    ///
    /// ```
    /// use cassiarock_settings::Entry;
    /// let entry = Entry::new("entry-1", "valle", "http://127.0.0.1:7000", "0123456789abcdef");
    /// assert_eq!(entry.callers.port(), 0);
    /// assert!(entry.check("in memory").is_ok());
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
            callers: ephemeral,
            peers: ephemeral,
            peers_public: None,
            metrics: ephemeral,
            metrics_public: None,
            log: log.into(),
            key: Key::from(key),
            log_format: Format::default(),
            limits: Limits::default(),
            clock_skew: Self::clock_skew(),
            remembered: Self::remembered(),
            neighbours: Vec::new(),
            log_retention: Self::log_retention(),
            drain_limit: Self::drain_limit(),
            policy: Policy::default(),
        }
    }

    /// Reads and checks a settings file.
    ///
    /// ```
    /// use cassiarock_settings::Entry;
    /// let error = Entry::load("no/such/file.jsonc").unwrap_err();
    /// assert!(error.to_string().contains("no/such/file.jsonc"));
    /// ```
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        Self::parse(&read::text(path)?, &path.display().to_string())
    }

    /// Parses and checks a text; `file` is named in errors.
    ///
    /// ```
    /// use cassiarock_settings::Entry;
    /// let error = Entry::parse(r#"{ "nmae": "entry-1" }"#, "entry.jsonc").unwrap_err();
    /// assert!(error.to_string().contains("did you mean `name`"));
    /// ```
    pub fn parse(text: &str, file: &str) -> Result<Self, Error> {
        let settings: Self = read::parse(text, file)?;
        settings.check(file)?;
        Ok(settings)
    }

    /// Checks the range of each field and the consistency between fields; `file` is named in errors.
    ///
    /// ```
    /// use cassiarock_settings::Entry;
    /// let mut entry = Entry::new("entry-1", "andes-1", "http://127.0.0.1:7000", "0123456789abcdef");
    /// entry.limits.tasks = 0;
    /// assert!(entry.check("in memory").is_err());
    /// ```
    pub fn check(&self, file: &str) -> Result<(), Error> {
        self.check_fields().map_err(|problem| problem.in_file(file))
    }

    fn check_fields(&self) -> Check {
        check::name("name", &self.name)?;
        check::name("data_centre", &self.data_centre)?;
        check::distinct(&[
            ("callers", self.callers),
            ("peers", self.peers),
            ("metrics", self.metrics),
        ])?;
        check::reachable("peers_public", self.peers, self.peers_public)?;
        check::reachable("metrics_public", self.metrics, self.metrics_public)?;
        check::url("log", &self.log)?;
        check::urls("neighbours", &self.neighbours)?;
        self.key.check()?;
        self.limits.check()?;
        check::skew(self.clock_skew)?;
        check::between(
            "remembered",
            self.remembered,
            Ledger::MIN_AGE,
            Ledger::MAX_AGE,
        )?;
        check::retention(self.log_retention)?;
        check::drain(self.drain_limit)?;
        self.policy.check()
    }

    fn remembered() -> Duration {
        Ledger::default().age
    }

    pub(crate) const fn clock_skew() -> Duration {
        Duration::from_millis(500)
    }

    /// Short, because a log that keeps records for longer does no harm. At the full size of
    /// 2,900 agents, a snapshot every quarter of an hour costs each process 0.9 KB/s.
    pub(crate) const fn log_retention() -> Duration {
        Duration::from_secs(3600)
    }

    pub(crate) const fn drain_limit() -> Duration {
        Duration::from_secs(30)
    }
}
