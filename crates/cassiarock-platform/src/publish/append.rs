//! Appends a record and resolves lost answers.

use crate::follow::Backoff;
use crate::{Error, Log};
use cassiarock_rule::Record;
use std::time::Duration;
use tokio::time::Instant;

/// Appends `record` and gives the offset of a copy of it on the log, trying for `time_limit`.
/// `from` is an offset at or below which the log ended before the first try.
///
/// After an answer was lost, the log is read back for the record's id. A slow log may
/// still append a record that is not found. The record is therefore appended again under the same
/// id, and the fold counts only the first copy.
///
/// ```
/// # use cassiarock_platform::{Log, publish};
/// # use cassiarock_id::{Process, Wall};
/// # use cassiarock_rule::{Record, record::Body};
/// # use std::time::Duration;
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// # let stand = cassiarock_test_support::log::Stand::start().await?;
/// let log = Log::new(stand.url())?;
/// let process = Process::new("agent-1", 1);
/// let record = Record::new(Wall::now(), "agent-1", Body::Left { process });
/// assert_eq!(publish::append(&log, &record, 0, Duration::from_secs(5)).await?, 0);
/// # Ok::<_, Box<dyn std::error::Error>>(()) })?;
/// # Ok::<_, Box<dyn std::error::Error>>(())
/// ```
///
/// # Errors
/// [`Error::Unsettled`] if the log gave no answer in time and the record may be on it;
/// another error if it surely is not.
pub async fn append(
    log: &Log,
    record: &Record,
    from: u64,
    time_limit: Duration,
) -> Result<u64, Error> {
    let bytes = record.encode()?;
    let deadline = Instant::now() + time_limit;
    let mut backoff = Backoff::default();
    let mut maybe_appended = false;
    loop {
        let error = match log.append(bytes.clone()).await {
            Ok(offset) => return Ok(offset),
            Err(error) => error,
        };
        maybe_appended |= !error.is_without_effect();
        if maybe_appended && let Ok(Some(offset)) = find(log, record, from).await {
            return Ok(offset);
        }
        let retry_at = Instant::now() + backoff.record_failure(rand::random());
        if retry_at >= deadline {
            return Err(append_error(record, maybe_appended, error));
        }
        tokio::time::sleep_until(retry_at).await;
    }
}

fn append_error(record: &Record, maybe_appended: bool, error: Error) -> Error {
    if !maybe_appended {
        return error;
    }
    Error::Unsettled {
        id: record.id,
        source: Box::new(error),
    }
}

/// Reads the log from `from` to its end for a copy of `record`.
async fn find(log: &Log, record: &Record, from: u64) -> Result<Option<u64>, Error> {
    let mut next = from;
    loop {
        let batch = log.read(next, Duration::ZERO).await?;
        for item in &batch.records {
            next = item.offset + 1;
            if Record::decode(&item.bytes).is_ok_and(|found| found.id == record.id) {
                return Ok(Some(item.offset));
            }
        }
        if batch.records.is_empty() || next >= batch.end {
            return Ok(None);
        }
    }
}
