//! Where entries take links: a topic of our own on the platform's store.

use crate::agent::Input;
use crate::follow::{Feed, News, follow};
use cassiarock_adapter::store::{Entry, Part, keyed};
use cassiarock_adapter::{Error, Store};
use cassiarock_id::{Process, Wall};
use cassiarock_platform::follow::Backoff;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// Each entry has one record, by its address: its process and when it said so.
const TOPIC: &str = "keyed.entries";

const PART: Part<'static> = Part {
    topic: TOPIC,
    part: 0,
};

/// How often an entry says that it is still there. Each time wakes the waiting read of every
/// agent: 29 entries and 2,900 agents make 140 reads a second of it, with a store that takes
/// some thousands.
const RENEWAL: Duration = Duration::from_secs(600);

/// An entry that has not said so for this long, three renewals, has been replaced. The clocks
/// of VMs may be some seconds apart.
const GONE: Duration = Duration::from_secs(1_800);

/// Announces an entry, again and again, and clears away the records of those that are gone.
///
/// It guards against records that pile up: a VM that is replaced comes back at another address,
/// and agents dial every address on record, so that in the end they would have no dial left
/// for those that live.
pub(crate) async fn announce(store: Store, address: SocketAddr, process: Process) {
    loop {
        put(&store, address, &process).await;
        // What is left is found at the next renewal, of any entry.
        if let Err(error) = clear(&store).await {
            log::warn!("clear the directory of entries: {error}");
        }
        tokio::time::sleep(RENEWAL).await;
    }
}

/// Announces an entry, trying until the store takes it.
async fn put(store: &Store, address: SocketAddr, process: &Process) {
    let mut backoff = Backoff::default();
    loop {
        let value = format!("{process} {}", Wall::now().as_millis());
        let record = keyed(&address.to_string(), value.as_bytes());
        match store.append(PART, &record, None).await {
            Ok(offset) => {
                log::info!(address:% = address, offset = offset; "announced");
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
    let (entries, mut end) = store.newest(PART).await?;
    let now = Wall::now();
    for entry in entries.iter().filter(|entry| is_gone(entry, now)) {
        match store.append(PART, &keyed(&entry.key, b""), Some(end)).await {
            Ok(offset) => {
                end = offset + 1;
                log::info!(address = entry.key, offset = offset; "cleared");
            }
            Err(error) if error.is_moved() => return Ok(()),
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Whether the entry has not renewed its record for too long. A record of another writer says
/// no time, and stays.
fn is_gone(entry: &Entry, now: Wall) -> bool {
    let value = std::str::from_utf8(&entry.value).unwrap_or_default();
    let renewed = value.rsplit([' ', '#']).next();
    let renewed = renewed.and_then(|millis| millis.parse().ok());
    renewed.is_some_and(|millis| now.since(Wall::from_millis(millis)) > GONE)
}

/// Records of 60 bytes, each of which counts: one that drops a key ends the dials to it.
const FEED: Feed = Feed {
    topic: TOPIC,
    read_kb: 1024,
    skips: false,
};

/// Tells which addresses of entries come and go, for ever. A record that cannot be read names
/// none.
pub(crate) async fn addresses(store: Store, found: mpsc::Sender<Input>) {
    let tell = |key: &str, value: &[u8]| {
        let Ok(address) = key.parse() else {
            return;
        };
        let input = if value.is_empty() {
            Input::EntryGone(address)
        } else {
            Input::Entry(address)
        };
        if found.try_send(input).is_err() {
            log::warn!(address = key; "entry left out: too many at once");
        }
    };
    follow(store, FEED, |news| match news {
        News::Newest(entries, _) => {
            for entry in entries {
                tell(&entry.key, &entry.value);
            }
        }
        News::Record(_, key, value) => tell(key, value),
    })
    .await;
}
