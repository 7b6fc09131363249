//! How configurations reach entries.

use crate::site::{Entry, Site};
use std::time::{Duration, Instant};

/// What operators allow for a change to be in force.
const IN_FORCE: Duration = Duration::from_secs(2);

/// A plain copy of the configuration with 1,700 queues.
const PLAIN: u64 = 250_000;

pub async fn has_version(entry: &Entry, version: u64, limit: Duration) {
    let until = Instant::now() + limit;
    while entry.metric("cassiarock_configuration_version").await != Some(version) {
        assert!(Instant::now() < until, "{}", entry.process.output());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn sent_bytes(entry: &Entry) -> u64 {
    let name = r#"cassiarock_peer_sent_bytes_total{kind="transient"}"#;
    entry.metric(name).await.unwrap_or_default()
}

// The operator publishes a configuration of 1,700 queues while the store turns one entry away.
// Each heartbeat of the other one told it that it was behind, ten times a second, and it asked
// for a copy each time. On a slow link the copies took seconds, and jobs waited behind them.
#[tokio::test]
async fn an_entry_that_the_store_turns_away_takes_one_packed_copy_from_another() {
    let mut site = Site::start_entries(2).await;
    for entry in &site.entries {
        has_version(entry, 1, IN_FORCE * 5).await;
    }
    site.entries[1].process.kill();
    site.entries[1].door.with_fault(|fault| fault.down = true);
    site.entries[1].restart();
    has_version(&site.entries[1], 1, IN_FORCE * 5).await;
    let before = sent_bytes(&site.entries[0]).await;
    let version = site.configure_queues(1_700);
    has_version(&site.entries[0], version, IN_FORCE).await;
    has_version(&site.entries[1], version, IN_FORCE).await;
    let sent = sent_bytes(&site.entries[0]).await - before;
    assert!((PLAIN / 100..PLAIN / 2).contains(&sent), "{sent}");
}
