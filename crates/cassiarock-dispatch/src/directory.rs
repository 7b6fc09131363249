//! The directory of entries: a topic of the platform's store with the link address of each entry.

use crate::agent::Input;
use crate::follow::{MAX_RETRY_PAUSE, Pace, Subscription, TopicEvent, follow};
use cassiarock_adapter::store::{KeyedRecord, Partition, encode_keyed};
use cassiarock_adapter::{Error, Store};
use cassiarock_id::{Name, Process, Wall};
use cassiarock_platform::follow::Backoff;
use cassiarock_process::Status;
use cassiarock_transient::directory::{Endpoint, Update, UpdateBuilder};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// The topic with one record per entry, whose key is the entry's address. Its value is the process,
/// the data centre and when the record was written, at the start of the entry.
const TOPIC: &str = "keyed.entries";

/// The topic in which entries renew their records, by their address. No process follows it, because
/// a renewal changes nothing for those that know the entry.
const RENEWALS: Partition<'static> = Partition {
    topic: "keyed.renewed",
    number: 0,
};

const ENTRIES: Partition<'static> = Partition {
    topic: TOPIC,
    number: 0,
};

/// The pause between two renewals of an entry's record.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(600);

/// Age at which a record expires, three renewals: its entry has been replaced. The clocks of VMs
/// may differ by some seconds.
const EXPIRY: Duration = Duration::from_secs(1_800);

/// Adds an entry to the directory, renews its record at intervals and deletes expired records,
/// until the process ends.
///
/// Without the deletion, records would accumulate: a replaced VM comes back at another address, and
/// agents dial every address in the directory, so that in the end no dials would be left for the
/// entries that run.
pub(crate) async fn announce(store: Store, place: Endpoint, process: Process) {
    put_record(&store, ENTRIES, &place, &process).await;
    loop {
        put_record(&store, RENEWALS, &place, &process).await;
        // Records that remain are deleted after the next renewal of any entry.
        if let Err(error) = delete_expired(&store).await {
            log::warn!("clear the directory of entries: {error}");
        }
        tokio::time::sleep(RENEWAL_INTERVAL).await;
    }
}

/// Writes the record of an entry, retrying until the store accepts it.
async fn put_record(store: &Store, partition: Partition<'_>, place: &Endpoint, process: &Process) {
    let mut backoff = Backoff::default();
    loop {
        let now = Wall::now().as_millis();
        let value = format!("{process} {} {now}", place.data_centre);
        let record = encode_keyed(&place.address, value.as_bytes());
        match store.append(partition, &record, None).await {
            Ok(offset) => {
                log::info!(address = place.address, topic = partition.topic, offset = offset; "announced");
                return;
            }
            // The append may have taken effect. A second record of the same key does no harm.
            Err(error) => {
                log::warn!("cannot announce this entry: {error}");
                let pause = backoff.record_failure(rand::random());
                tokio::time::sleep(pause.min(MAX_RETRY_PAUSE)).await;
            }
        }
    }
}

/// Deletes the expired records. Each deletion takes effect only if nothing has been written since
/// the records were read, so that an append that the store carries out seconds late cannot delete
/// the record of an entry that has come back at that address.
async fn delete_expired(store: &Store) -> Result<(), Error> {
    let (renewals, _) = store.read_newest(RENEWALS).await?;
    let renewals: HashMap<&str, &KeyedRecord> = renewals
        .iter()
        .map(|renewal| (&*renewal.key, renewal))
        .collect();
    let (records, mut end) = store.read_newest(ENTRIES).await?;
    let now = Wall::now();
    let is_gone = |record: &&KeyedRecord| {
        let renewal = renewals.get(&*record.key);
        is_expired(record, now) && renewal.is_none_or(|renewal| is_expired(renewal, now))
    };
    for record in records.iter().filter(is_gone) {
        match store
            .append(ENTRIES, &encode_keyed(&record.key, b""), Some(end))
            .await
        {
            Ok(offset) => {
                end = offset + 1;
                log::info!(address = record.key, offset = offset; "cleared");
            }
            Err(error) if error.is_precondition_failed() => return Ok(()),
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Whether the record was written too long ago. One without a time, which another writer must have
/// written, never expires.
fn is_expired(record: &KeyedRecord, now: Wall) -> bool {
    let value = std::str::from_utf8(&record.value).unwrap_or_default();
    let written = value.rsplit([' ', '#']).next();
    let written = written.and_then(|millis| millis.parse().ok());
    written.is_some_and(|millis| now.since(Wall::from_millis(millis)) > EXPIRY)
}

fn endpoint(record: &KeyedRecord) -> Endpoint {
    Endpoint::new(&*record.key, data_centre(&record.value))
}

/// The data centre in the value of an entry's record; empty if there is none.
fn data_centre(value: &[u8]) -> Name {
    let value = std::str::from_utf8(value).unwrap_or_default();
    let parts: Vec<&str> = value.split(' ').collect();
    match parts[..] {
        [_process, data_centre, _written] => data_centre.into(),
        _ => Name::default(),
    }
}

/// Records have 60 bytes, and none is skipped, because a deletion ends the dials to the address.
/// The pause lets the records of entries that start together be read together.
const SUBSCRIPTION: Subscription = Subscription {
    topic: TOPIC,
    max_read_kb: 1024,
    skips_to_newest: false,
    pause: Duration::from_millis(250),
};

/// The pause before an agent without any link reads the directory again.
const UNLINKED_PAUSE: Duration = Duration::from_secs(5);

/// The pause before an agent that has found no entry in the directory reads it again.
const EMPTY_PAUSE: Duration = Duration::from_millis(250);

/// Sends all changes of the directory to an entry, which passes them on to agents, until the
/// process ends.
pub(crate) async fn follow_updates(store: Store, updates: mpsc::UnboundedSender<Update>) {
    let mut builder = UpdateBuilder::default();
    let send = |update| {
        if updates.send(update).is_err() {
            log::debug!("directory of entries: the process is ending");
        }
    };
    follow(store, SUBSCRIPTION, Pace::Relaxed, |event| match event {
        TopicEvent::Newest(records, end) => {
            send(Update::full(end, records.iter().map(endpoint)));
        }
        TopicEvent::Record(offset, key, value) => {
            let data_centre = (!value.is_empty()).then(|| data_centre(value));
            builder.add(offset, key.into(), data_centre);
        }
        TopicEvent::ReadCompleted => builder.take().into_iter().for_each(&send),
    })
    .await;
}

/// Reads the directory for an agent, at its start and again whenever it has no link, with a pause
/// between reads. It receives later changes over its links.
pub(crate) async fn bootstrap(
    store: Store,
    inputs: mpsc::Sender<Input>,
    mut statuses: watch::Receiver<Status>,
) {
    let mut backoff = Backoff::default();
    loop {
        let pause = match store.read_newest(ENTRIES).await {
            Ok((records, end)) => {
                backoff.record_success();
                let update = Update::full(end, records.iter().map(endpoint));
                let is_empty = update.present.is_empty();
                if inputs.send(Input::Directory(update)).await.is_err() {
                    return;
                }
                if is_empty {
                    EMPTY_PAUSE
                } else {
                    UNLINKED_PAUSE
                }
            }
            Err(error) => {
                log::warn!(dependency = "store", topic = TOPIC; "lost: {error}");
                backoff.record_failure(rand::random()).min(MAX_RETRY_PAUSE)
            }
        };
        // Spreads the reads: with a data centre's network, all agents lose their links at once.
        tokio::time::sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
        if statuses.wait_for(|status| status.links == 0).await.is_err() {
            return;
        }
    }
}
