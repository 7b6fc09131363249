//! Inclusive ranges of whole numbers.

use serde::{Deserialize, Serialize};

/// An inclusive range from `min` to `max`; unbounded by default.
///
/// ```
/// use cassiarock_rule::condition::Span;
/// let span = Span { min: 2, ..Span::default() };
/// assert!(span.contains(2) && !span.contains(1));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Span {
    /// The lowest number of the range.
    #[serde(skip_serializing_if = "is_lowest")]
    pub min: u32,
    /// The highest number of the range.
    #[serde(skip_serializing_if = "is_highest")]
    pub max: u32,
}

impl Default for Span {
    fn default() -> Self {
        Self {
            min: u32::MIN,
            max: u32::MAX,
        }
    }
}

impl Span {
    /// Whether `number` lies within the range.
    #[must_use]
    pub fn contains(self, number: u32) -> bool {
        (self.min..=self.max).contains(&number)
    }

    /// Whether every number of `other` lies within the range.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        self.min <= other.min && other.max <= self.max
    }

    /// Whether the range contains every number.
    #[must_use]
    pub fn is_full(&self) -> bool {
        *self == Self::default()
    }

    /// Whether the range contains no number.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.min > self.max
    }
}

fn is_lowest(number: &u32) -> bool {
    *number == u32::MIN
}

fn is_highest(number: &u32) -> bool {
    *number == u32::MAX
}
