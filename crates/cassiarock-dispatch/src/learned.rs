//! What entries have learned of callers, kept on the platform's store for their next lives.
//!
//! It guards the first second after a loss of all entries: half of the callers then have waited
//! before they come, and an entry that knows nothing cannot tell which.

use crate::entry::Input;
use cassiarock_adapter::store::{Partition, encode_keyed};
use cassiarock_adapter::{Error, Store};
use cassiarock_id::Name;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// All routes are one record, which a new process reads in one call. Routes that the
/// configuration has dropped stay in it.
const PART: Partition<'static> = Partition {
    topic: "keyed.learned",
    number: 0,
};
const KEY: &str = "patience";

/// The pause between two looks at what is on record and what has been learned. Each costs a
/// call to the store, and rarely a second one.
const PAUSE: Duration = Duration::from_secs(10);

/// The first pause: by then an entry knows the callers of its busy routes.
const FIRST_PAUSE: Duration = Duration::from_secs(3);

/// How far a figure has to be from the one on record to be written: the record is an estimate,
/// and each entry's own differs by some hundredths.
const DRIFT: f64 = 0.1;

/// The usual least patience of each route's callers, in milliseconds.
pub(crate) type Record = BTreeMap<Name, u64>;

/// Tells the entry what is on record, and puts on record what it has learned, for ever.
pub(crate) async fn keep(store: Store, inputs: mpsc::Sender<Input>) {
    let mut pause = FIRST_PAUSE;
    loop {
        if let Err(error) = exchange(&store, &inputs).await {
            log::warn!(dependency = "store"; "what callers usually wait was not exchanged: {error}");
        }
        tokio::time::sleep(pause).await;
        pause = PAUSE;
    }
}

async fn exchange(store: &Store, inputs: &mpsc::Sender<Input>) -> Result<(), Error> {
    let (entries, _) = store.read_newest(PART).await?;
    let newest = entries.iter().find(|entry| entry.key == KEY);
    let known = newest.map(|entry| decode(&entry.value)).unwrap_or_default();
    let (reply, learned) = oneshot::channel();
    let told = inputs.send(Input::Learned(known.clone(), reply)).await;
    let (Ok(()), Ok(learned)) = (told, learned.await) else {
        // The entry is ending.
        return Ok(());
    };
    if !has_drifted(&known, &learned) {
        log::debug!(routes = known.len(); "what callers usually wait has been read");
        return Ok(());
    }
    let value = match serde_json::to_vec(&learned) {
        Ok(value) => value,
        // An empty value would delete the record.
        Err(error) => {
            log::warn!("what callers usually wait was not put on record: {error}");
            return Ok(());
        }
    };
    store.append(PART, &encode_keyed(KEY, &value), None).await?;
    log::info!(before:? = known, now:? = learned; "what callers usually wait is on record");
    Ok(())
}

/// A record of another writer that cannot be read says nothing.
fn decode(value: &[u8]) -> Record {
    serde_json::from_slice(value).unwrap_or_else(|error| {
        log::warn!("what callers usually wait was left out: {error}");
        Record::new()
    })
}

fn has_drifted(known: &Record, learned: &Record) -> bool {
    learned.iter().any(|(route, millis)| {
        let before = known.get(route).map(|before| *before as f64);
        before.is_none_or(|before| (*millis as f64 / before - 1.0).abs() > DRIFT)
    })
}
