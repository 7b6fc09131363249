//! Log records of decisions.

use cassiarock_id::Name;
use std::fmt;
use std::time::Duration;

/// One decision: what was decided, about which request, and the inputs that decided it.
///
/// ```
/// use cassiarock_transient::Decision;
/// let line = Decision::new("refused", "r-1", "5c0e").with("reason", "queue").with("wait_ms", 812);
/// assert_eq!(line.fields[1], ("wait_ms", "812".to_owned()));
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// The kind of decision, in one or two words; also a metric label.
    pub kind: &'static str,
    /// The caller's id of the request; empty if the decision concerns no single request.
    pub request: Name,
    /// The job's id; empty if the decision concerns no single job.
    pub job: Name,
    /// The inputs, their age or version, and the outcome.
    pub fields: Vec<(&'static str, String)>,
    /// Whether something went wrong. Lines about failures are dropped last.
    pub is_failure: bool,
}

impl Decision {
    /// Creates a decision without fields.
    pub fn new(kind: &'static str, request: impl Into<Name>, job: impl Into<Name>) -> Self {
        Self {
            kind,
            request: request.into(),
            job: job.into(),
            fields: Vec::new(),
            is_failure: false,
        }
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.fields.push((name, value.to_string()));
        self
    }

    /// Adds a time in milliseconds; the field is empty if there is none.
    ///
    /// ```
    /// use cassiarock_transient::Decision;
    /// let line = Decision::new("upstream", "", "").with_millis("ends_in_ms", None);
    /// assert_eq!(line.fields[0], ("ends_in_ms", String::new()));
    /// ```
    #[must_use]
    pub fn with_millis(self, name: &'static str, time: Option<Duration>) -> Self {
        let millis = time.map(|time| time.as_millis().to_string());
        self.with(name, millis.unwrap_or_default())
    }

    /// Marks the decision as a failure.
    #[must_use]
    pub const fn failed(mut self) -> Self {
        self.is_failure = true;
        self
    }
}
