//! Where entries take links: a topic of our own on the platform's store.

use crate::agent::Input;
use crate::follow::{Feed, News, follow};
use cassiarock_adapter::store::{KeyedRecord, Partition, encode_keyed};
use cassiarock_adapter::{Error, Store};
use cassiarock_id::{Name, Process, Wall};
use cassiarock_platform::follow::Backoff;
use cassiarock_process::Status;
use cassiarock_transient::directory::{Endpoint, Update, UpdateBuilder};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Each entry has one record, by its address: its process, its data centre and when it started.
const TOPIC: &str = "keyed.entries";

/// When each entry last said that it is still there, by its address. Nobody follows this topic:
/// a renewal changes nothing for those that know the entry.
const RENEWED: Partition<'static> = Partition {
    topic: "keyed.renewed",
    number: 0,
};

const PART: Partition<'static> = Partition {
    topic: TOPIC,
    number: 0,
};

/// How often an entry says that it is still there.
const RENEWAL: Duration = Duration::from_secs(600);

/// An entry that has not said so for this long, three renewals, has been replaced. The clocks
/// of VMs may be some seconds apart.
const GONE: Duration = Duration::from_secs(1_800);

/// Announces an entry, again and again, and clears away the records of those that are gone.
///
/// It guards against records that pile up: a VM that is replaced comes back at another address,
/// and agents dial every address on record, so that in the end they would have no dial left
/// for those that live.
pub(crate) async fn announce(store: Store, place: Endpoint, process: Process) {
    put(&store, PART, &place, &process).await;
    loop {
        put(&store, RENEWED, &place, &process).await;
        // What is left is found at the next renewal, of any entry.
        if let Err(error) = clear(&store).await {
            log::warn!("clear the directory of entries: {error}");
        }
        tokio::time::sleep(RENEWAL).await;
    }
}

/// Puts the record of an entry, trying until the store takes it.
async fn put(store: &Store, part: Partition<'_>, place: &Endpoint, process: &Process) {
    let mut backoff = Backoff::default();
    loop {
        let now = Wall::now().as_millis();
        let value = format!("{process} {} {now}", place.data_centre);
        let record = encode_keyed(&place.address, value.as_bytes());
        match store.append(part, &record, None).await {
            Ok(offset) => {
                log::info!(address = place.address, topic = part.topic, offset = offset; "announced");
                return;
            }
            // A second record of the same key does no harm.
            Err(error) => {
                log::warn!("announce: {error}");
                tokio::time::sleep(backoff.fail(rand::random())).await;
            }
        }
    }
}

/// Deletes the records of entries that are gone. Each deletion holds only if nothing has been
/// written since the records were read: an order that the store carries out seconds late
/// cannot delete the record of an entry that has come back at that address.
async fn clear(store: &Store) -> Result<(), Error> {
    let (renewed, _) = store.read_newest(RENEWED).await?;
    let renewed: HashMap<&str, &KeyedRecord> = renewed.iter().map(|at| (&*at.key, at)).collect();
    let (entries, mut end) = store.read_newest(PART).await?;
    let now = Wall::now();
    let is_gone = |entry: &&KeyedRecord| {
        let renewed = renewed.get(&*entry.key);
        is_old(entry, now) && renewed.is_none_or(|renewed| is_old(renewed, now))
    };
    for entry in entries.iter().filter(is_gone) {
        match store
            .append(PART, &encode_keyed(&entry.key, b""), Some(end))
            .await
        {
            Ok(offset) => {
                end = offset + 1;
                log::info!(address = entry.key, offset = offset; "cleared");
            }
            Err(error) if error.is_precondition_failed() => return Ok(()),
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Whether the record was written too long ago. One of another writer says no time, and stays.
fn is_old(entry: &KeyedRecord, now: Wall) -> bool {
    let value = std::str::from_utf8(&entry.value).unwrap_or_default();
    let renewed = value.rsplit([' ', '#']).next();
    let renewed = renewed.and_then(|millis| millis.parse().ok());
    renewed.is_some_and(|millis| now.since(Wall::from_millis(millis)) > GONE)
}

fn place(entry: &KeyedRecord) -> Endpoint {
    Endpoint::new(&*entry.key, data_centre(&entry.value))
}

/// The data centre in a record of an entry; empty if it says none.
fn data_centre(value: &[u8]) -> Name {
    let value = std::str::from_utf8(value).unwrap_or_default();
    let parts: Vec<&str> = value.split(' ').collect();
    match parts[..] {
        [_process, data_centre, _written] => data_centre.into(),
        _ => Name::default(),
    }
}

/// Records of 60 bytes, each of which counts: one that drops a key ends the dials to it. Entries
/// that start together are read together.
const FEED: Feed = Feed {
    topic: TOPIC,
    read_kb: 1024,
    skips: false,
    pause: Duration::from_millis(250),
};

/// The pause before an agent without any link reads the directory again.
const UNLINKED: Duration = Duration::from_secs(5);

/// The pause before an agent that knows no entry at all reads the directory again.
const UNKNOWN: Duration = Duration::from_millis(250);

/// Gives what changes in the directory, for ever: to an entry, which passes it on.
pub(crate) async fn updates(store: Store, found: mpsc::UnboundedSender<Update>) {
    let mut gathering = UpdateBuilder::default();
    let tell = |update| {
        if found.send(update).is_err() {
            log::debug!("directory of entries: the process is ending");
        }
    };
    follow(store, FEED, |news| match news {
        News::Newest(entries, end) => {
            tell(Update::full(end, entries.iter().map(place)));
        }
        News::Record(offset, key, value) => {
            let data_centre = (!value.is_empty()).then(|| data_centre(value));
            gathering.add(offset, key.into(), data_centre);
        }
        News::Read => gathering.take().into_iter().for_each(&tell),
    })
    .await;
}

/// Reads the directory for an agent, at its start and whenever it has had no link for long. What
/// changes later comes over its links.
pub(crate) async fn bootstrap(
    store: Store,
    found: mpsc::Sender<Input>,
    mut statuses: watch::Receiver<Status>,
) {
    let mut backoff = Backoff::default();
    loop {
        let pause = match store.read_newest(PART).await {
            Ok((entries, end)) => {
                backoff.succeed();
                let update = Update::full(end, entries.iter().map(place));
                let is_empty = update.present.is_empty();
                if found.send(Input::Directory(update)).await.is_err() {
                    return;
                }
                if is_empty { UNKNOWN } else { UNLINKED }
            }
            Err(error) => {
                log::warn!(dependency = "store", topic = TOPIC; "lost: {error}");
                backoff.fail(rand::random())
            }
        };
        // Spread, as all agents lose their links at once with a data centre's network.
        tokio::time::sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
        if statuses.wait_for(|status| status.links == 0).await.is_err() {
            return;
        }
    }
}
