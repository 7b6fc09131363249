//! Job ids: which texts are accepted, and the issue time in them.

use cassiarock_id::{Error, Job, Wall};
use yare::parameterized;

#[parameterized(
    not_a_uuid = { "seat-4", Error::Malformed },
    too_long = { "01a238dd-2a28-79e2-b724-46408250414a0", Error::Malformed },
    random = { "8b2f7c52-6f0c-4d7e-9f4e-0d9a3d1f5b11", Error::Version },
)]
fn a_text_that_is_not_a_uuid_v7_is_rejected(text: &str, error: Error) {
    assert_eq!(text.parse::<Job>(), Err(error));
}

#[test]
fn ids_issued_at_the_same_time_differ() {
    let now = Wall::from_millis(1_700_000_000_123);
    assert_ne!(Job::new(now), Job::new(now));
}

#[test]
fn ids_are_ordered_by_their_issue_time() {
    let early = Job::with_bits(Wall::from_millis(1), u64::MAX);
    let late = Job::with_bits(Wall::from_millis(2), 0);
    assert!(early < late);
    assert_eq!(late.issued(), Wall::from_millis(2));
}
