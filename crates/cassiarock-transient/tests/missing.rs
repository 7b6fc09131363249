//! For how long an entry has known that it lacks a configuration.

use cassiarock_transient::missing::MissingVersions;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_version_is_missing_from_its_first_report_until_it_is_in_force() {
    let mut missing = MissingVersions::new();
    for now in (0..1_000).step_by(100) {
        missing.record(8, 7, ms(now));
    }
    assert_eq!(missing.known_for(7, ms(1_000)), Some(ms(1_000)));
    assert_eq!(missing.known_for(8, ms(1_000)), None);
}

// In a storm of changes an entry always lacks the newest version, but none of them for long.
#[test]
fn an_entry_that_follows_a_storm_of_changes_is_only_as_late_as_its_oldest_missing_version() {
    let mut missing = MissingVersions::new();
    for version in 1..1_000 {
        let now = ms(version * 50);
        missing.record(version, version - 1, now);
        missing.record(version, version.saturating_sub(2), now);
        let late = missing.known_for(version - 1, now);
        assert!(late <= Some(ms(50)), "{version}: {late:?}");
    }
}

// The store is down, and the only entry that has the newer version is gone.
#[test]
fn a_version_that_no_entry_has_any_more_is_not_waited_for() {
    let mut missing = MissingVersions::new();
    missing.record(8, 7, ms(0));
    assert_eq!(missing.known_for(7, ms(300)), Some(ms(300)));
    assert_eq!(missing.known_for(7, ms(3_000)), None);
}
