//! Incarnations of an upstream.

use cassiarock_id::Name;
use std::fmt;

/// One incarnation of an upstream, from its start to its end.
///
/// An upstream that restarts may keep its id. Then only the start time tells its incarnations
/// apart.
///
/// ```
/// use cassiarock_transient::Incarnation;
/// let first = Incarnation::new("u-1").with_started_at(Some(1_000));
/// let second = Incarnation::new("u-1").with_started_at(Some(2_000));
/// assert!(first.differs_from(&second));
/// assert!(!first.differs_from(&Incarnation::new("u-1")));
/// assert_eq!(second.to_string(), "u-1@2000");
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Incarnation {
    /// The upstream's id.
    pub id: Name,
    /// The start time by the upstream's own clock, in milliseconds since the Unix epoch, if it
    /// reports one.
    pub started_at: Option<u64>,
}

impl Incarnation {
    /// An incarnation of the upstream with this id, without a known start time.
    #[must_use]
    pub fn new(id: impl Into<Name>) -> Self {
        Self {
            id: id.into(),
            started_at: None,
        }
    }

    /// Sets the start time.
    #[must_use]
    pub fn with_started_at(self, started_at: Option<u64>) -> Self {
        Self { started_at, ..self }
    }

    /// Whether the two are known to be different incarnations.
    #[must_use]
    pub fn differs_from(&self, other: &Self) -> bool {
        self.id != other.id
            || matches!((self.started_at, other.started_at), (Some(a), Some(b)) if a != b)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at {
            Some(started_at) => write!(f, "{}@{started_at}", self.id),
            None => write!(f, "{}", self.id),
        }
    }
}
