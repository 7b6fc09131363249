//! Stores what entries have learned about callers in the platform's store, for entries that start
//! later.
//!
//! It is needed in the first second after all entries were lost: half of the callers that then
//! come have already been waiting, and an entry without this knowledge cannot tell which ones.

use crate::entry::Input;
use cassiarock_adapter::store::{Partition, encode_keyed};
use cassiarock_adapter::{Error, Store};
use cassiarock_id::Name;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// All routes share one record, so that a new process reads them in one call. Routes that have
/// been removed from the configuration stay in the record.
const PARTITION: Partition<'static> = Partition {
    topic: "keyed.learned",
    number: 0,
};
const KEY: &str = "patience";

/// The pause between two exchanges with the store. Each costs one call to the store, and rarely
/// a second one.
const INTERVAL: Duration = Duration::from_secs(10);

/// The pause after the first exchange, in which an entry gets to know the callers of its busy
/// routes.
const FIRST_INTERVAL: Duration = Duration::from_secs(3);

/// The relative change from the stored value from which on a value is written. The values are
/// estimates, and those of different entries differ by some hundredths.
const MIN_CHANGE: f64 = 0.1;

/// The usual minimum patience of each route's callers, in milliseconds.
pub(crate) type RoutePatience = BTreeMap<Name, u64>;

/// Passes the stored record to the entry and stores what the entry has learned, repeatedly until
/// the process ends.
pub(crate) async fn sync(store: Store, inputs: mpsc::Sender<Input>) {
    let mut pause = FIRST_INTERVAL;
    loop {
        if let Err(error) = exchange(&store, &inputs).await {
            log::warn!(dependency = "store"; "cannot exchange the usual patience of callers with the store: {error}");
        }
        tokio::time::sleep(pause).await;
        pause = INTERVAL;
    }
}

async fn exchange(store: &Store, inputs: &mpsc::Sender<Input>) -> Result<(), Error> {
    let (records, _) = store.read_newest(PARTITION).await?;
    let newest = records.iter().find(|record| record.key == KEY);
    let known = newest
        .map(|record| decode(&record.value))
        .unwrap_or_default();
    let (reply, learned) = oneshot::channel();
    let sent = inputs.send(Input::Learned(known.clone(), reply)).await;
    let (Ok(()), Ok(learned)) = (sent, learned.await) else {
        // The entry's actor has ended.
        return Ok(());
    };
    if !has_changed(&known, &learned) {
        log::debug!(routes = known.len(); "the usual patience of callers is unchanged");
        return Ok(());
    }
    let value = match serde_json::to_vec(&learned) {
        Ok(value) => value,
        // Appends nothing, because an empty value would delete the record.
        Err(error) => {
            log::warn!("cannot encode the usual patience of callers: {error}");
            return Ok(());
        }
    };
    store
        .append(PARTITION, &encode_keyed(KEY, &value), None)
        .await?;
    log::info!(before:? = known, now:? = learned; "what callers usually wait is on record");
    Ok(())
}

/// Decodes the record. One that cannot be decoded, which another writer must have written, counts
/// as empty.
fn decode(value: &[u8]) -> RoutePatience {
    serde_json::from_slice(value).unwrap_or_else(|error| {
        log::warn!("the stored patience of callers is ignored: {error}");
        RoutePatience::new()
    })
}

fn has_changed(known: &RoutePatience, learned: &RoutePatience) -> bool {
    learned.iter().any(|(route, millis)| {
        let before = known.get(route).map(|before| *before as f64);
        before.is_none_or(|before| (*millis as f64 / before - 1.0).abs() > MIN_CHANGE)
    })
}
