//! Times of day.

use cassiarock_id::Wall;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::str::FromStr;

const MINUTES_PER_HOUR: u16 = 60;
const MINUTES_PER_DAY: u16 = 24 * MINUTES_PER_HOUR;
const MILLIS_PER_MINUTE: u64 = 60_000;

/// A minute of the day in UTC, formatted as `06:30`.
///
/// ```
/// use cassiarock_rule::condition::TimeOfDay;
/// use cassiarock_id::Wall;
/// let time: TimeOfDay = "06:30".parse()?;
/// assert_eq!(time, TimeOfDay::at(Wall::from_millis((6 * 60 + 30) * 60_000)));
/// assert_eq!(time.to_string(), "06:30");
/// # Ok::<_, cassiarock_rule::condition::ParseTimeOfDayError>(())
/// ```
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct TimeOfDay(u16);

/// The text is not a time of day; write hours and minutes as `06:30`, from 00:00 to 23:59.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a time of day such as 06:30")]
pub struct ParseTimeOfDayError;

impl TimeOfDay {
    /// The minute of the day at `wall`.
    #[must_use]
    pub fn at(wall: Wall) -> Self {
        let minutes = wall.as_millis() / MILLIS_PER_MINUTE % u64::from(MINUTES_PER_DAY);
        Self(u16::try_from(minutes).unwrap_or(0))
    }
}

impl FromStr for TimeOfDay {
    type Err = ParseTimeOfDayError;

    fn from_str(text: &str) -> Result<Self, ParseTimeOfDayError> {
        let (hours, minutes) = text.split_once(':').ok_or(ParseTimeOfDayError)?;
        let hours: u16 = hours.parse().map_err(|_| ParseTimeOfDayError)?;
        let minutes: u16 = minutes.parse().map_err(|_| ParseTimeOfDayError)?;
        if hours >= 24 || minutes >= MINUTES_PER_HOUR {
            return Err(ParseTimeOfDayError);
        }
        Ok(Self(hours * MINUTES_PER_HOUR + minutes))
    }
}

impl fmt::Display for TimeOfDay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (hours, minutes) = (self.0 / MINUTES_PER_HOUR, self.0 % MINUTES_PER_HOUR);
        write!(f, "{hours:02}:{minutes:02}")
    }
}

/// A time range of the day, which crosses midnight if `from` is later than `until`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Hours {
    /// The first minute of the range.
    pub from: TimeOfDay,
    /// The first minute after the range.
    pub until: TimeOfDay,
}

impl Hours {
    /// Whether `time` lies within the range.
    ///
    /// ```
    /// use cassiarock_rule::condition::Hours;
    /// let night = Hours { from: "22:00".parse()?, until: "05:00".parse()? };
    /// assert!(night.contains("23:30".parse()?));
    /// assert!(!night.contains("05:00".parse()?));
    /// # Ok::<_, cassiarock_rule::condition::ParseTimeOfDayError>(())
    /// ```
    #[must_use]
    pub fn contains(self, time: TimeOfDay) -> bool {
        if self.from <= self.until {
            (self.from..self.until).contains(&time)
        } else {
            time >= self.from || time < self.until
        }
    }

    /// Whether every minute of `other` lies within the range.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        (0..MINUTES_PER_DAY)
            .map(TimeOfDay)
            .all(|time| self.contains(time) || !other.contains(time))
    }

    /// Whether the range contains no minute.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.from == self.until
    }
}
