//! Follows a keyed topic of the platform's store.

use cassiarock_adapter::store::{KeyedRecord, Partition, decode_keyed};
use cassiarock_adapter::{Error, Store};
use cassiarock_platform::follow::Backoff;
use std::time::Duration;

/// How long a read waits for a record. The platform charges a waiting read as a call; a system of
/// three entries and eleven agents has six of them open at a time.
const READ_WAIT: Duration = Duration::from_secs(20);

/// A topic to follow, and how to read it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Subscription {
    pub(crate) topic: &'static str,
    /// Most KB requested in one read, which returns at least one record.
    pub(crate) max_read_kb: u32,
    /// Whether a reader that is behind skips to the newest record of each key. A reader that has to
    /// see every deletion of a key reads all records.
    pub(crate) skips_to_newest: bool,
    /// The pause after a read that returned records. The next read returns all records written
    /// meanwhile.
    pub(crate) pause: Duration,
}

/// An event of a followed topic.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TopicEvent<'a> {
    /// The newest record of each key, which replaces everything reported before, and the offset
    /// at which later records begin. Keys that are missing have been deleted.
    Newest(&'a [KeyedRecord], u64),
    /// The record at an offset: its key and its value, which is empty if it deletes the key.
    Record(u64, &'a str, &'a [u8]),
    /// All records of one read have been reported.
    ReadCompleted,
}

/// Passes the topic's newest records and all later ones to `on_event`, until the process ends.
/// Retries while the store is unreachable, and starts again with the newest records when the store
/// has deleted records that were not read yet.
pub(crate) async fn follow(
    store: Store,
    subscription: Subscription,
    mut on_event: impl FnMut(TopicEvent<'_>),
) {
    let topic = subscription.topic;
    let mut backoff = Backoff::default();
    let mut next = None;
    let mut lost_since: Option<tokio::time::Instant> = None;
    loop {
        let started_at = tokio::time::Instant::now();
        match read_once(&store, subscription, next, &mut on_event).await {
            Ok(end) => {
                next = end;
                backoff.record_success();
                if let Some(since) = lost_since.take() {
                    let away_ms = since.elapsed().as_millis() as u64;
                    log::info!(dependency = "store", topic = topic, away_ms = away_ms; "regained");
                }
            }
            Err(error) => {
                if lost_since.is_none() {
                    lost_since = Some(tokio::time::Instant::now());
                    let waited_ms = started_at.elapsed().as_millis() as u64;
                    log::warn!(dependency = "store", topic = topic, waited_ms = waited_ms; "lost: {error}");
                }
                metrics::counter!("cassiarock_store_errors_total", "topic" => topic).increment(1);
                let wait = backoff.record_failure(rand::random());
                tokio::time::sleep(wait.min(MAX_RETRY_PAUSE)).await;
            }
        }
    }
}

/// The longest pause between two attempts. Entries must learn of a change within two seconds, also
/// when the store has just become reachable again.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Reads once, from `next` on, or the newest records if it is `None`. Returns where to read next;
/// `None` to read the newest records again.
async fn read_once(
    store: &Store,
    subscription: Subscription,
    next: Option<u64>,
    on_event: &mut impl FnMut(TopicEvent<'_>),
) -> Result<Option<u64>, Error> {
    let Subscription {
        topic,
        max_read_kb,
        skips_to_newest,
        pause,
    } = subscription;
    let partition = Partition { topic, number: 0 };
    let Some(next) = next else {
        let (records, end) = store.read_newest(partition).await?;
        on_event(TopicEvent::Newest(&records, end));
        return Ok(Some(end));
    };
    match store.read(partition, next, READ_WAIT, max_read_kb).await {
        // A log that ends before the read offset is a new one.
        Ok(batch) if batch.end < next || batch.earliest > next => Ok(None),
        Ok(batch) => {
            for (offset, record) in (next..).zip(&batch.records) {
                if let Some((key, value)) = decode_keyed(record) {
                    on_event(TopicEvent::Record(offset, key, value));
                }
            }
            on_event(TopicEvent::ReadCompleted);
            if !batch.records.is_empty() {
                tokio::time::sleep(pause).await;
            }
            let after = next + batch.records.len() as u64;
            let is_behind = skips_to_newest && !batch.records.is_empty() && batch.end > after;
            Ok((!is_behind).then_some(after))
        }
        Err(error) if error.is_expired() => Ok(None),
        Err(error) => Err(error),
    }
}
