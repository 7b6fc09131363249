//! Entries whose path to the store fails without a sign of it.

use crate::configuration::has_version;
use crate::site::Site;
use cassiarock_test_support::proxy::{Direction, Fault, Scope};
use std::time::{Duration, Instant};

/// After a disturbance has ended, an entry has this long until the bound below holds again.
const CONTACT: Duration = Duration::from_secs(3);

/// What operators allow for a change to be in force.
const IN_FORCE: Duration = Duration::from_secs(2);

/// How long a start may take, on a busy machine.
const START: Duration = Duration::from_secs(10);

/// Silences the open connections of all entries to the store, and gives how late each entry has a
/// configuration that is published `CONTACT - IN_FORCE` later, when the bound holds again.
async fn lateness_after_silence(entries: usize) -> Vec<Duration> {
    let mut site = Site::start_entries(entries).await;
    for entry in &site.entries {
        has_version(entry, 1, START).await;
    }
    for entry in &site.entries {
        entry
            .store_path
            .set(Scope::Existing, Direction::Both, Fault::Silent);
    }
    let silenced = Instant::now();
    tokio::time::sleep(CONTACT - IN_FORCE).await;
    let version = site.configure_queues(2);
    let mut late = Vec::new();
    for entry in &site.entries {
        has_version(entry, version, Duration::from_secs(30)).await;
        late.push(silenced.elapsed().saturating_sub(CONTACT));
    }
    late
}

#[tokio::test]
async fn an_entry_alone_has_a_configuration_in_time_after_its_reads_went_silent() {
    let late = lateness_after_silence(1).await;
    assert_eq!(late, [Duration::ZERO; 1]);
}

#[tokio::test]
async fn all_entries_have_a_configuration_in_time_after_all_their_reads_went_silent() {
    let late = lateness_after_silence(3).await;
    assert_eq!(late, [Duration::ZERO; 3]);
}

/// How long entries run until one of them reads with short waits.
const SETTLED: Duration = Duration::from_secs(3);

/// Swallows all calls of all entries to the store for `outage`, and gives how late each entry has a
/// configuration that is published `CONTACT - IN_FORCE` after its end, when the bound holds again.
async fn lateness_after_outage(entries: usize, outage: Duration) -> Vec<Duration> {
    let mut site = Site::start_entries(entries).await;
    for entry in &site.entries {
        has_version(entry, 1, START).await;
    }
    tokio::time::sleep(SETTLED).await;
    let set_silent = |is_silent| {
        for entry in &site.entries {
            entry.door.with_fault(|store| store.silent = is_silent);
        }
    };
    set_silent(true);
    tokio::time::sleep(outage).await;
    set_silent(false);
    let ended = Instant::now();
    tokio::time::sleep(CONTACT - IN_FORCE).await;
    let version = site.configure_queues(2);
    let mut late = Vec::new();
    for entry in &site.entries {
        has_version(entry, version, Duration::from_secs(30)).await;
        late.push(ended.elapsed().saturating_sub(CONTACT));
    }
    late
}

#[tokio::test]
async fn an_entry_alone_has_a_configuration_in_time_after_a_store_forgot_its_calls() {
    let late = lateness_after_outage(1, Duration::from_millis(4_700)).await;
    assert_eq!(late, [Duration::ZERO; 1]);
}

#[tokio::test]
async fn all_entries_have_a_configuration_in_time_after_a_store_forgot_their_calls() {
    let late = lateness_after_outage(3, Duration::from_millis(5_600)).await;
    assert_eq!(late, [Duration::ZERO; 3]);
}

// Copies from another entry hid that the read was lost, until that entry was lost as well.
#[tokio::test]
async fn a_read_that_missed_a_configuration_is_replaced_although_a_copy_has_come() {
    let mut site = Site::start_entries(2).await;
    for entry in &site.entries {
        has_version(entry, 1, START).await;
    }
    tokio::time::sleep(SETTLED).await;
    let entry = &site.entries[1];
    let path = &entry.store_path;
    path.set(Scope::Existing, Direction::Both, Fault::Silent);
    let opened = path.accepted();
    let version = site.configure_queues(2);
    let entry = &site.entries[1];
    has_version(entry, version, IN_FORCE).await;
    tokio::time::sleep(IN_FORCE).await;
    assert!(entry.store_path.accepted() > opened);
}
