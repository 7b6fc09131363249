//! Lives of an upstream.

use cassiarock_id::Name;
use std::fmt;

/// One life of an upstream: from its start to its end.
///
/// An upstream that starts again may keep its id. Then only the time of its start tells its
/// lives apart.
///
/// ```
/// use cassiarock_transient::Life;
/// let first = Life::new("u-1").with_born(Some(1_000));
/// let second = Life::new("u-1").with_born(Some(2_000));
/// assert!(first.is_other(&second));
/// assert!(!first.is_other(&Life::new("u-1")));
/// assert_eq!(second.to_string(), "u-1@2000");
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Life {
    /// The upstream's id.
    pub id: Name,
    /// When it started, in milliseconds since 1970 by its own clock, if it says so.
    pub born: Option<u64>,
}

impl Life {
    /// A life of the upstream with this id, of which no time of start is known.
    #[must_use]
    pub fn new(id: impl Into<Name>) -> Self {
        Self {
            id: id.into(),
            born: None,
        }
    }

    /// The same that started then.
    #[must_use]
    pub fn with_born(self, born: Option<u64>) -> Self {
        Self { born, ..self }
    }

    /// Whether the two are known to be different lives.
    #[must_use]
    pub fn is_other(&self, other: &Self) -> bool {
        self.id != other.id || matches!((self.born, other.born), (Some(a), Some(b)) if a != b)
    }

    /// Whether it started before `other`, as far as the clocks of upstreams tell.
    #[must_use]
    pub fn is_before(&self, other: &Self) -> bool {
        matches!((self.born, other.born), (Some(own), Some(other)) if own < other)
    }
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(f, "{}@{born}", self.id),
            None => write!(f, "{}", self.id),
        }
    }
}
