//! Follows a keyed topic of the platform's store.

use crate::freshness::SharedFreshness;
use cassiarock_adapter::store::{KeyedRecord, Partition, decode_keyed};
use cassiarock_adapter::{Error, Store};
use cassiarock_platform::follow::Backoff;
use cassiarock_transient::freshness::LONG_WAIT;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long the answer to a read may take beyond the time that the read waits for a record. The
/// store answers within 10 ms, or 300 ms when it is slow. Doubled after each failure, for a store
/// that is slower still.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest such time.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

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

/// How long the reads of a topic wait for a record.
#[derive(Clone, Debug)]
pub(crate) enum Pace {
    /// As long as possible: news may arrive late.
    Relaxed,
    /// As long as another entry proves that nothing was missed.
    Fresh(SharedFreshness),
}

impl Pace {
    fn read_wait(&self) -> Duration {
        match self {
            Self::Relaxed => LONG_WAIT,
            Self::Fresh(freshness) => freshness.read_wait(),
        }
    }

    /// Waits until a read that started now has to be given up, and returns for how long it has not
    /// been proved that nothing was missed.
    async fn overdue(&self, store: &Store) -> Duration {
        match self {
            Self::Relaxed => std::future::pending().await,
            Self::Fresh(freshness) => freshness.overdue(store).await,
        }
    }

    fn record_answer(&self) {
        if let Self::Fresh(freshness) = self {
            freshness.record_answer();
        }
    }

    fn record_failure(&self) {
        if let Self::Fresh(freshness) = self {
            freshness.record_failure();
        }
    }
}

/// Passes the topic's newest records and all later ones to `on_event`, until the process ends.
/// Retries while the store is unreachable, and starts again with the newest records when the store
/// has deleted records that were not read yet.
pub(crate) async fn follow(
    store: Store,
    subscription: Subscription,
    pace: Pace,
    mut on_event: impl FnMut(TopicEvent<'_>),
) {
    let topic = subscription.topic;
    let mut backoff = Backoff::default();
    let mut next = None;
    let mut lost_since: Option<Instant> = None;
    let mut answer_timeout = ANSWER_TIMEOUT;
    loop {
        let started_at = Instant::now();
        // After a failure, an answer shows at once that the store is back.
        let wait = if lost_since.is_some() {
            Duration::ZERO
        } else {
            pace.read_wait()
        };
        let store = store.clone().with_timeout(answer_timeout);
        let read = tokio::select! {
            read = read_once(&store, subscription, next, wait, &mut on_event) => read,
            age = pace.overdue(&store) => {
                log::info!(topic = topic, waited_ms = started_at.elapsed().as_millis() as u64, unproved_ms = age.as_millis() as u64; "read replaced");
                metrics::counter!("cassiarock_store_reads_replaced_total", "topic" => topic).increment(1);
                pace.record_failure();
                continue;
            }
        };
        match read {
            Ok(read) => {
                next = read.next;
                backoff.record_success();
                answer_timeout = ANSWER_TIMEOUT;
                // Otherwise there are records that have not been read yet.
                if next.is_some() {
                    pace.record_answer();
                }
                if let Some(since) = lost_since.take() {
                    let away_ms = since.elapsed().as_millis() as u64;
                    log::info!(dependency = "store", topic = topic, away_ms = away_ms; "regained");
                }
                if !read.is_empty {
                    sleep(subscription.pause).await;
                }
            }
            Err(error) => {
                if lost_since.is_none() {
                    lost_since = Some(Instant::now());
                    let waited_ms = started_at.elapsed().as_millis() as u64;
                    log::warn!(dependency = "store", topic = topic, waited_ms = waited_ms; "lost: {error}");
                }
                metrics::counter!("cassiarock_store_errors_total", "topic" => topic).increment(1);
                pace.record_failure();
                answer_timeout = (answer_timeout * 2).min(MAX_ANSWER_TIMEOUT);
                let wait = backoff.record_failure(rand::random());
                sleep(wait.min(MAX_RETRY_PAUSE)).await;
            }
        }
    }
}

/// The longest pause between two attempts. Entries must learn of a change within two seconds, also
/// when the store has just become reachable again.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The result of one read.
struct Read {
    /// Where to read next; `None` to read the newest records again.
    next: Option<u64>,
    /// Whether it returned no records that are to be followed by a pause.
    is_empty: bool,
}

impl Read {
    const fn empty(next: Option<u64>) -> Self {
        Self {
            next,
            is_empty: true,
        }
    }
}

/// Reads once, from `next` on, or the newest records if it is `None`.
async fn read_once(
    store: &Store,
    subscription: Subscription,
    next: Option<u64>,
    wait: Duration,
    on_event: &mut impl FnMut(TopicEvent<'_>),
) -> Result<Read, Error> {
    let Subscription {
        topic,
        max_read_kb,
        skips_to_newest,
        ..
    } = subscription;
    let partition = Partition { topic, number: 0 };
    let Some(next) = next else {
        let (records, end) = store.read_newest(partition).await?;
        on_event(TopicEvent::Newest(&records, end));
        return Ok(Read::empty(Some(end)));
    };
    match store.read(partition, next, wait, max_read_kb).await {
        // A log that ends before the read offset is a new one.
        Ok(batch) if batch.end < next || batch.earliest > next => Ok(Read::empty(None)),
        Ok(batch) => {
            for (offset, record) in (next..).zip(&batch.records) {
                if let Some((key, value)) = decode_keyed(record) {
                    on_event(TopicEvent::Record(offset, key, value));
                }
            }
            on_event(TopicEvent::ReadCompleted);
            let after = next + batch.records.len() as u64;
            let is_behind = skips_to_newest && !batch.records.is_empty() && batch.end > after;
            Ok(Read {
                next: (!is_behind).then_some(after),
                is_empty: batch.records.is_empty(),
            })
        }
        Err(error) if error.is_expired() => Ok(Read::empty(None)),
        Err(error) => Err(error),
    }
}
