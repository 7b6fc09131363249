//! Follows a keyed topic of the platform's store.

use crate::freshness::{RECEIVING_CHECK, SharedFreshness};
use cassiarock_adapter::store::{Batch, KeyedRecord, Partition, decode_keyed};
use cassiarock_adapter::{Error, Store};
use cassiarock_platform::follow::Backoff;
use cassiarock_transient::freshness::LONG_WAIT;
use cassiarock_transient::hedge;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

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

    /// Records an answer that says nothing of the time `age` before now.
    fn record_answer(&self, age: Duration) {
        if let Self::Fresh(freshness) = self {
            freshness.record_answer(age);
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
    let store = store.with_timeout(hedge::ATTEMPT_TIMEOUT);
    let topic = subscription.topic;
    let mut backoff = Backoff::default();
    let mut next = None;
    let mut outage = Outage::new(topic);
    loop {
        let started_at = Instant::now();
        // After a failure, an answer shows at once that the store is back.
        let wait = if outage.is_open() {
            Duration::ZERO
        } else {
            pace.read_wait()
        };
        let on_silence = |attempts| {
            outage.record_silence(attempts, started_at);
            pace.record_failure();
        };
        let read = tokio::select! {
            read = read_hedged(&store, subscription, next, wait, on_silence) => read,
            age = pace.overdue(&store) => {
                log::info!(topic = topic, waited_ms = started_at.elapsed().as_millis() as u64, unproved_ms = age.as_millis() as u64; "read replaced");
                metrics::counter!("cassiarock_store_reads_replaced_total", "topic" => topic).increment(1);
                pace.record_failure();
                continue;
            }
        };
        match read {
            Ok((answer, answered_at)) => {
                let read = answer.report(next, subscription, &mut on_event);
                next = read.next;
                backoff.record_success();
                // Otherwise there are records that have not been read yet.
                if next.is_some() {
                    pace.record_answer(answered_at.elapsed());
                }
                outage.end();
                if !read.is_empty {
                    sleep(subscription.pause).await;
                }
            }
            Err(error) => {
                outage.record_failure(&error, started_at);
                pace.record_failure();
                let wait = backoff.record_failure(rand::random());
                sleep(wait.min(MAX_RETRY_PAUSE)).await;
            }
        }
    }
}

/// The longest pause between two attempts. Entries must learn of a change within two seconds, also
/// when the store has just become reachable again.
pub(crate) const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The time for which the store has not answered reads of a topic, for the log.
struct Outage {
    topic: &'static str,
    since: Option<Instant>,
}

impl Outage {
    const fn new(topic: &'static str) -> Self {
        Self { topic, since: None }
    }

    const fn is_open(&self) -> bool {
        self.since.is_some()
    }

    /// Records that the latest of `attempts` since `started_at` has not been answered in time.
    fn record_silence(&mut self, attempts: u32, started_at: Instant) {
        self.record(&format_args!("{attempts} unanswered"), started_at);
    }

    fn record_failure(&mut self, error: &Error, started_at: Instant) {
        self.record(error, started_at);
    }

    fn record(&mut self, cause: &dyn std::fmt::Display, started_at: Instant) {
        let topic = self.topic;
        if self.since.is_none() {
            self.since = Some(Instant::now());
            let waited_ms = started_at.elapsed().as_millis() as u64;
            log::warn!(dependency = "store", topic = topic, waited_ms = waited_ms; "lost: {cause}");
        }
        metrics::counter!("cassiarock_store_errors_total", "topic" => topic).increment(1);
    }

    fn end(&mut self) {
        if let Some(since) = self.since.take() {
            let away_ms = since.elapsed().as_millis() as u64;
            log::info!(dependency = "store", topic = self.topic, away_ms = away_ms; "regained");
        }
    }
}

/// The answer of the store to one read.
enum Answer {
    /// The newest record of each key, and where later records begin.
    Newest(Vec<KeyedRecord>, u64),
    /// Records from the requested offset on.
    Batch(Batch),
    /// The requested records have been deleted.
    Expired,
}

impl Answer {
    /// Reports the answer to a read from `next` on.
    fn report(
        &self,
        next: Option<u64>,
        subscription: Subscription,
        on_event: &mut impl FnMut(TopicEvent<'_>),
    ) -> Read {
        let batch = match self {
            Self::Newest(records, end) => {
                on_event(TopicEvent::Newest(records, *end));
                return Read::empty(Some(*end));
            }
            Self::Batch(batch) => batch,
            Self::Expired => return Read::empty(None),
        };
        // A log that ends before the read offset is a new one.
        let Some(next) = next.filter(|next| batch.earliest <= *next && *next <= batch.end) else {
            return Read::empty(None);
        };
        for (offset, record) in (next..).zip(&batch.records) {
            if let Some((key, value)) = decode_keyed(record) {
                on_event(TopicEvent::Record(offset, key, value));
            }
        }
        on_event(TopicEvent::ReadCompleted);
        let after = next + batch.records.len() as u64;
        let is_behind =
            subscription.skips_to_newest && !batch.records.is_empty() && batch.end > after;
        Read {
            next: (!is_behind).then_some(after),
            is_empty: batch.records.is_empty(),
        }
    }
}

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

/// Reads from `next` on, or the newest records if it is `None`, and repeats the read beside its
/// unanswered attempts, with a call of `on_silence` before each. The first answer counts, and is
/// returned with the earliest time at which the store may have sent it; an error is returned when
/// no other attempt is left.
async fn read_hedged(
    store: &Store,
    subscription: Subscription,
    next: Option<u64>,
    wait: Duration,
    mut on_silence: impl FnMut(u32),
) -> Result<(Answer, Instant), Error> {
    let topic = subscription.topic;
    let mut sent = 1;
    let mut attempts = FuturesUnordered::new();
    attempts.push(read_once(store, subscription, next, wait));
    let mut repeat_at = Instant::now() + wait + hedge::delay(sent);
    loop {
        tokio::select! {
            Some(result) = attempts.next() => match result {
                Err(error) if !attempts.is_empty() => {
                    log::info!(topic = topic, unanswered = attempts.len(); "attempt failed: {error}");
                }
                result => return result,
            },
            () = sleep_until(repeat_at) => {
                if store.is_receiving() {
                    repeat_at = Instant::now() + RECEIVING_CHECK;
                    continue;
                }
                on_silence(sent);
                attempts.push(read_once(store, subscription, next, Duration::ZERO));
                sent += 1;
                repeat_at = Instant::now() + hedge::delay(sent);
            }
        }
    }
}

async fn read_once(
    store: &Store,
    subscription: Subscription,
    next: Option<u64>,
    wait: Duration,
) -> Result<(Answer, Instant), Error> {
    let topic = subscription.topic;
    let partition = Partition { topic, number: 0 };
    let sent_at = Instant::now();
    let Some(next) = next else {
        let (records, end) = store.read_newest(partition).await?;
        return Ok((Answer::Newest(records, end), sent_at));
    };
    let read = store.read(partition, next, wait, subscription.max_read_kb);
    match read.await {
        // The store sends records as they are written, but nothing only when the wait has ended.
        Ok(batch) if batch.records.is_empty() => Ok((Answer::Batch(batch), sent_at + wait)),
        Ok(batch) if wait.is_zero() => Ok((Answer::Batch(batch), sent_at)),
        Ok(batch) => Ok((Answer::Batch(batch), Instant::now())),
        Err(error) if error.is_expired() => Ok((Answer::Expired, sent_at)),
        Err(error) => Err(error),
    }
}
