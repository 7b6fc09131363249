//! The product's own records on the platform's store.

use crate::batch::{Batch, LogRecord};
use crate::error::Error;
use cassiarock_adapter::Store;
use cassiarock_adapter::store::Partition;
use std::time::Duration;

/// One partition, so that all processes read the records in the same order.
const PARTITION: Partition<'static> = Partition {
    topic: "cassiarock",
    number: 0,
};

/// An append takes several milliseconds; three seconds cover a slow spell and still leave time
/// to resolve a lost answer while an operator waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a follower's read waits for a first record. A silent connection is
/// detected after this time plus the call's time limit, which leaves 4 s of the 17 s within which a change
/// must be in force. At 2,900 processes without new records this makes 290 reads a second.
const POLL: Duration = Duration::from_secs(10);

/// A client of one log; clones share its connections.
#[derive(Clone, Debug)]
pub struct Log {
    store: Store,
    poll: Duration,
}

impl Log {
    /// A client of the log at `base_url`, as `http://10.0.0.1:7000`. Opens no connection yet.
    ///
    /// ```
    /// let log = cassiarock_platform::Log::new("http://127.0.0.1:7000")?;
    /// assert_eq!(log.peer(), "http://127.0.0.1:7000");
    /// # Ok::<_, cassiarock_platform::Error>(())
    /// ```
    ///
    /// # Errors
    /// If the HTTP library finds no working system.
    pub fn new(base_url: impl AsRef<str>) -> Result<Self, Error> {
        Ok(Self {
            store: Store::new(base_url)?.with_timeout(CALL_TIMEOUT),
            poll: POLL,
        })
    }

    /// The same with another time limit for the answer to a call.
    #[must_use]
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self {
            store: self.store.with_timeout(timeout),
            ..self
        }
    }

    /// The same with another time for which a follower's read waits for a first record.
    #[must_use]
    pub fn with_poll(self, poll: Duration) -> Self {
        Self { poll, ..self }
    }

    /// How long a follower's read waits for a first record.
    #[must_use]
    pub fn poll(&self) -> Duration {
        self.poll
    }

    /// The log's address, for messages.
    #[must_use]
    pub fn peer(&self) -> &str {
        self.store.url()
    }

    /// Adds a record and gives its offset.
    ///
    /// # Errors
    /// If no good answer came in time; unless [`Error::is_without_effect`], the record may be
    /// on the log, or may still be appended.
    pub async fn append(&self, bytes: impl Into<Vec<u8>>) -> Result<u64, Error> {
        Ok(self.store.append(PARTITION, &bytes.into(), None).await?)
    }

    /// The offsets at which the log begins and ends, without records.
    ///
    /// # Errors
    /// If no good answer came in time.
    pub async fn edges(&self) -> Result<Batch, Error> {
        let batch = self.read_from(0, Duration::ZERO, EDGES_KB).await?;
        Ok(Batch {
            records: Vec::new(),
            ..batch
        })
    }

    /// Reads records from `from` on, waiting up to `wait` for a first one. If the record at
    /// `from` has been deleted, it begins with the first that has not.
    ///
    /// # Errors
    /// If no good answer came in time.
    pub async fn read(&self, from: u64, wait: Duration) -> Result<Batch, Error> {
        self.read_from(from, wait, READ_KB).await
    }

    async fn read_from(&self, from: u64, wait: Duration, max_kb: u32) -> Result<Batch, Error> {
        let found = self.store.read(PARTITION, from, wait, max_kb).await;
        let (from, batch) = match found {
            Ok(batch) => (from, batch),
            Err(error) => match error.first_kept() {
                Some(first) => {
                    let batch = self.store.read(PARTITION, first, wait, max_kb).await?;
                    (first, batch)
                }
                None => return Err(error.into()),
            },
        };
        let records = (from..).zip(batch.records);
        Ok(Batch {
            records: records
                .map(|(offset, bytes)| LogRecord { offset, bytes })
                .collect(),
            earliest: batch.earliest,
            end: batch.end,
        })
    }
}

/// Size limit of one read, in KB.
const READ_KB: u32 = 1024;

/// Size limit of a read that needs only the bounds of the log, in KB.
const EDGES_KB: u32 = 1;
