//! Follows a keyed topic of the platform's store.

use cassiarock_adapter::store::{KeyedRecord, Partition, decode_keyed};
use cassiarock_adapter::{Error, Store};
use cassiarock_platform::follow::Backoff;
use std::time::Duration;

/// How long a read waits for a record. Waiting reads are priced as calls: six of them wait in
/// a system of three entries and eleven agents at a time.
const WAIT: Duration = Duration::from_secs(20);

/// A topic to follow, and how.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Feed {
    pub(crate) topic: &'static str,
    /// The KB asked for in one read; one record comes at least.
    pub(crate) read_kb: u32,
    /// Whether records that newer ones of their key have replaced are left out where it can be
    /// seen that there are such. A reader that has to learn of dropped keys reads them all.
    pub(crate) skips: bool,
    /// The least pause between two reads that found something: what comes meanwhile is read at
    /// once.
    pub(crate) pause: Duration,
}

/// What a topic shows.
#[derive(Clone, Copy, Debug)]
pub(crate) enum News<'a> {
    /// The newest record of each key, in place of all that was shown before, and the offset
    /// from which later records follow. Keys that are missing have been dropped.
    Newest(&'a [KeyedRecord], u64),
    /// The record at this offset: its key and its value, which is empty if it drops the key.
    Record(u64, &'a str, &'a [u8]),
    /// All records of one read have been shown.
    Read,
}

/// Gives the topic's newest records and all later ones to `take`, for ever. The store may
/// forget the history and be away; then the newest records are read anew.
pub(crate) async fn follow(store: Store, feed: Feed, mut take: impl FnMut(News<'_>)) {
    let topic = feed.topic;
    let mut backoff = Backoff::default();
    let mut next = None;
    let mut lost: Option<tokio::time::Instant> = None;
    loop {
        match step(&store, feed, next, &mut take).await {
            Ok(end) => {
                next = end;
                backoff.succeed();
                if let Some(since) = lost.take() {
                    let away_ms = since.elapsed().as_millis() as u64;
                    log::info!(dependency = "store", topic = topic, away_ms = away_ms; "regained");
                }
            }
            Err(error) => {
                if lost.is_none() {
                    lost = Some(tokio::time::Instant::now());
                    log::warn!(dependency = "store", topic = topic; "lost: {error}");
                }
                metrics::counter!("cassiarock_store_errors_total", "topic" => topic).increment(1);
                let wait = backoff.fail(rand::random());
                tokio::time::sleep(wait.min(LONGEST)).await;
            }
        }
    }
}

/// Entries must have a change within two seconds also when the store is just back.
const LONGEST: Duration = Duration::from_secs(1);

/// One read. Gives where to read next; `None` to begin with the newest records again.
async fn step(
    store: &Store,
    feed: Feed,
    next: Option<u64>,
    take: &mut impl FnMut(News<'_>),
) -> Result<Option<u64>, Error> {
    let Feed {
        topic,
        read_kb,
        skips,
        pause,
    } = feed;
    let of = Partition { topic, number: 0 };
    let Some(next) = next else {
        let (entries, end) = store.read_newest(of).await?;
        take(News::Newest(&entries, end));
        return Ok(Some(end));
    };
    match store.read(of, next, WAIT, read_kb).await {
        // A log that ends before what was read is another one.
        Ok(batch) if batch.end < next || batch.earliest > next => Ok(None),
        Ok(batch) => {
            for (offset, record) in (next..).zip(&batch.records) {
                if let Some((key, value)) = decode_keyed(record) {
                    take(News::Record(offset, key, value));
                }
            }
            take(News::Read);
            if !batch.records.is_empty() {
                tokio::time::sleep(pause).await;
            }
            let read = next + batch.records.len() as u64;
            let is_behind = skips && !batch.records.is_empty() && batch.end > read;
            Ok((!is_behind).then_some(read))
        }
        Err(error) if error.is_expired() => Ok(None),
        Err(error) => Err(error),
    }
}
