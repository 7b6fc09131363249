//! Durations and sizes with units.

use cassiarock_settings::units::{Bytes, Time};
use std::time::Duration;
use yare::parameterized;

#[parameterized(
    milliseconds = { "250ms", 250 },
    seconds = { "2s", 2_000 },
    minutes = { "5min", 300_000 },
    hours = { "1h", 3_600_000 },
    blank = { "2 s", 2_000 },
    zero = { "0ms", 0 },
)]
fn durations_are_parsed(text: &str, millis: u64) {
    assert_eq!(Time::parse(text), Ok(Duration::from_millis(millis)));
}

#[parameterized(
    empty = { "" },
    no_unit = { "2" },
    no_number = { "s" },
    negative = { "-2s" },
    fraction = { "0.5s" },
    unknown_unit = { "2m" },
    overflow = { "99999999999999999h" },
)]
fn invalid_durations_are_rejected(text: &str) {
    assert!(Time::parse(text).unwrap_err().contains("250ms"));
}

#[parameterized(
    bytes = { "512B", 512 },
    kibibytes = { "16KiB", 16_384 },
    gibibytes = { "2GiB", 2_147_483_648 },
)]
fn sizes_round_trip(text: &str, bytes: u64) {
    assert_eq!(Bytes::parse(text), Ok(bytes));
    assert_eq!(Bytes::format(bytes), text);
}

#[parameterized(
    decimal_unit = { "4MB" },
    lower_case = { "4mib" },
    overflow = { "99999999999GiB" },
)]
fn invalid_sizes_are_rejected(text: &str) {
    assert!(Bytes::parse(text).unwrap_err().contains("64MiB"));
}
