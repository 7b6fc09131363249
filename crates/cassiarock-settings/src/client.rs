//! The settings of the operators' client.

use crate::check::{self, Check, Problem};
use crate::units::Time;
use crate::{Error, read};
use cassiarock_id::Name;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::path::Path;
use std::time::Duration;

/// Settings of the operators' client. `docs/SETTINGS.md` describes each field.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Client {
    /// The name of the publishing operator, written into each record.
    pub operator: Name,
    /// Base URL of the platform's log.
    pub log: String,
    /// Base URLs of the entries' callers' API, tried in order.
    pub entries: Vec<String>,
    /// Base URLs of the entries' metrics listeners, for status and explanations.
    pub status: Vec<String>,
    /// Timeout of one request and its response.
    #[serde(default = "Client::timeout")]
    #[serde_as(as = "Time")]
    pub timeout: Duration,
    /// How long `--wait` waits for a published version to be in force everywhere.
    #[serde(default = "Client::wait")]
    #[serde_as(as = "Time")]
    pub wait: Duration,
}

impl Client {
    /// A client of the given log, without entries.
    ///
    /// ```
    /// use cassiarock_settings::Client;
    /// let client = Client::new("ana", "http://127.0.0.1:7000")
    ///     .with_entries(["http://127.0.0.1:8080"])
    ///     .with_status(["http://127.0.0.1:9090"]);
    /// assert!(client.check("in memory").is_ok());
    /// ```
    pub fn new(operator: impl Into<Name>, log: impl Into<String>) -> Self {
        Self {
            operator: operator.into(),
            log: log.into(),
            entries: Vec::new(),
            status: Vec::new(),
            timeout: Self::timeout(),
            wait: Self::wait(),
        }
    }

    /// The same client with the entries at these base URLs.
    ///
    /// ```
    /// use cassiarock_settings::Client;
    /// let client = Client::new("ana", "http://127.0.0.1:7000");
    /// assert_eq!(client.with_entries(["http://127.0.0.1:8080"]).entries.len(), 1);
    /// ```
    #[must_use]
    pub fn with_entries(self, entries: impl IntoIterator<Item = impl Into<String>>) -> Self {
        let entries = entries.into_iter().map(Into::into).collect();
        Self { entries, ..self }
    }

    /// The same client with the entries' metrics listeners at these base URLs.
    ///
    /// ```
    /// use cassiarock_settings::Client;
    /// let client = Client::new("ana", "http://127.0.0.1:7000");
    /// assert_eq!(client.with_status(["http://127.0.0.1:9090"]).status.len(), 1);
    /// ```
    #[must_use]
    pub fn with_status(self, status: impl IntoIterator<Item = impl Into<String>>) -> Self {
        let status = status.into_iter().map(Into::into).collect();
        Self { status, ..self }
    }

    /// Reads and checks a settings file.
    ///
    /// ```
    /// use cassiarock_settings::Client;
    /// assert!(Client::load("no/such/file.jsonc").is_err());
    /// ```
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        Self::parse(&read::text(path)?, &path.display().to_string())
    }

    /// Parses and checks a text; `file` is named in errors.
    ///
    /// ```
    /// use cassiarock_settings::Client;
    /// let error = Client::parse(r#"{ "entires": [] }"#, "client.jsonc").unwrap_err();
    /// assert!(error.to_string().contains("did you mean `entries`"));
    /// ```
    pub fn parse(text: &str, file: &str) -> Result<Self, Error> {
        let settings: Self = read::parse(text, file)?;
        settings.check(file)?;
        Ok(settings)
    }

    /// Checks the range of each field and the consistency between fields; `file` is named in errors.
    ///
    /// ```
    /// use cassiarock_settings::Client;
    /// assert!(Client::new("ana", "http://127.0.0.1:7000").check("in memory").is_err());
    /// ```
    pub fn check(&self, file: &str) -> Result<(), Error> {
        self.check_fields().map_err(|problem| problem.in_file(file))
    }

    fn check_fields(&self) -> Check {
        const MIN: Duration = Duration::from_millis(100);
        const MAX: Duration = Duration::from_secs(600);
        check::name("operator", &self.operator)?;
        check::url("log", &self.log)?;
        nonempty_urls("entries", &self.entries)?;
        nonempty_urls("status", &self.status)?;
        check::between("timeout", self.timeout, MIN, MAX)?;
        check::between("wait", self.wait, MIN, MAX)
    }

    const fn timeout() -> Duration {
        Duration::from_secs(5)
    }

    const fn wait() -> Duration {
        Duration::from_secs(30)
    }
}

fn nonempty_urls(field: &'static str, values: &[String]) -> Check {
    if values.is_empty() {
        return Err(Problem::new(field, "is empty", "name at least one entry"));
    }
    values.iter().try_for_each(|value| check::url(field, value))
}
