//! Adapters for `serde_with`: durations and sizes as numbers with units.
//!
//! ```
//! use cassiarock_settings::units::{Bytes, Time};
//! use std::time::Duration;
//! assert_eq!(Time::parse("250ms"), Ok(Duration::from_millis(250)));
//! assert_eq!(Bytes::parse("64KiB"), Ok(65_536));
//! ```

use serde::{Deserialize, Deserializer, Serializer, de::Error as _};
use serde_with::{DeserializeAs, SerializeAs};
use std::time::Duration;

/// Unit names of durations with their lengths in milliseconds, longest first.
const TIMES: [(&str, u64); 4] = [("h", 3_600_000), ("min", 60_000), ("s", 1_000), ("ms", 1)];

/// Unit names of sizes with their sizes in bytes, largest first.
const SIZES: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// A duration in whole `ms`, `s`, `min` or `h`, such as `"250ms"`.
#[derive(Clone, Copy, Debug)]
pub struct Time;

/// A size in whole `B`, `KiB`, `MiB` or `GiB`, such as `"64MiB"`.
#[derive(Clone, Copy, Debug)]
pub struct Bytes;

impl Time {
    /// Parses a duration; the error shows the valid format.
    ///
    /// ```
    /// use cassiarock_settings::units::Time;
    /// assert!(Time::parse("2").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Duration, String> {
        parse(text, &TIMES)
            .map(Duration::from_millis)
            .ok_or_else(|| {
                format!("{text:?} is no duration; write \"250ms\", \"2s\", \"5min\" or \"1h\"")
            })
    }

    /// Formats a duration in the longest unit that needs no fraction.
    ///
    /// ```
    /// use cassiarock_settings::units::Time;
    /// assert_eq!(Time::format(std::time::Duration::from_secs(120)), "2min");
    /// ```
    #[must_use]
    pub fn format(duration: Duration) -> String {
        format(
            u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
            &TIMES,
        )
    }
}

impl Bytes {
    /// Parses a size; the error shows the valid format.
    ///
    /// ```
    /// use cassiarock_settings::units::Bytes;
    /// assert!(Bytes::parse("64MB").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<u64, String> {
        parse(text, &SIZES).ok_or_else(|| {
            format!("{text:?} is no size; write \"512B\", \"16KiB\", \"64MiB\" or \"2GiB\"")
        })
    }

    /// Formats a size in the largest unit that needs no fraction.
    ///
    /// ```
    /// use cassiarock_settings::units::Bytes;
    /// assert_eq!(Bytes::format(16_384), "16KiB");
    /// ```
    #[must_use]
    pub fn format(bytes: u64) -> String {
        format(bytes, &SIZES)
    }
}

fn parse(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(end);
    let (_, length) = units.iter().find(|(name, _)| *name == unit.trim())?;
    number.parse::<u64>().ok()?.checked_mul(*length)
}

fn format(value: u64, units: &[(&str, u64)]) -> String {
    let divides_evenly =
        |(_, length): &&(&str, u64)| value >= *length && value.is_multiple_of(*length);
    let smallest = units[units.len() - 1];
    let (name, length) = units
        .iter()
        .find(divides_evenly)
        .copied()
        .unwrap_or(smallest);
    format!("{}{name}", value / length)
}

impl<'de> DeserializeAs<'de, Duration> for Time {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(D::Error::custom)
    }
}

impl SerializeAs<Duration> for Time {
    fn serialize_as<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&Self::format(*value))
    }
}

impl<'de> DeserializeAs<'de, usize> for Bytes {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = Self::parse(&text).map_err(D::Error::custom)?;
        usize::try_from(bytes).map_err(D::Error::custom)
    }
}

impl SerializeAs<usize> for Bytes {
    fn serialize_as<S: Serializer>(value: &usize, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&Self::format(u64::try_from(*value).unwrap_or(u64::MAX)))
    }
}
