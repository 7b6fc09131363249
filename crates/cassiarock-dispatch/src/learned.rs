//! Stores what entries have learned about callers and upstreams in the platform's store, for
//! entries that start later.
//!
//! It is needed in the first second after all entries were lost: half of the callers that then
//! come have already been waiting, and an entry without this knowledge cannot tell which ones.

use crate::entry::Input;
use cassiarock_adapter::store::{KeyedRecord, Partition, encode_keyed};
use cassiarock_adapter::{Error, Store};
use cassiarock_id::Name;
use cassiarock_transient::scheduler::{RunTime, UsualRoom};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// All routes share one record, and all services another, so that a new process reads them in one
/// call. Routes that have been removed from the configuration stay in the record.
const PARTITION: Partition<'static> = Partition {
    topic: "keyed.learned",
    number: 0,
};
const PATIENCE_KEY: &str = "patience";
const ROOM_KEY: &str = "room";
const RUN_TIMES_KEY: &str = "run-times";

/// The pause between two exchanges with the store. Each costs one call to the store, and rarely
/// a second one.
const INTERVAL: Duration = Duration::from_secs(10);

/// The pause after the first exchange, in which an entry gets to know the callers of its busy
/// routes.
const FIRST_INTERVAL: Duration = Duration::from_secs(3);

/// The relative change from the stored value from which on a value is written. The values are
/// estimates, and those of different entries differ by some hundredths.
const MIN_CHANGE: f64 = 0.1;

/// The factor between the stored room and an entry's own from which on it is written. Entries of
/// a large system differ by a third in the number of their agents.
const ROOM_FACTOR: f64 = 1.5;

/// The factor between the stored mean run time and an entry's own from which on it is written. The
/// means of entries differ by a tenth, since callers' estimates are off by 40%.
const RUN_TIME_FACTOR: f64 = 1.3;

/// The usual minimum patience of each route's callers, in milliseconds.
pub(crate) type RoutePatience = BTreeMap<Name, u64>;

/// The usual upstreams of each service.
pub(crate) type ServiceRoom = BTreeMap<Name, UsualRoom>;

/// The run times of each route, relative to the callers' estimates, by kind of upstream.
pub(crate) type RouteRunTimes = BTreeMap<Name, BTreeMap<Name, RunTime>>;

/// What is on record, or is to be.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Learned {
    pub(crate) patience: RoutePatience,
    pub(crate) room: ServiceRoom,
    pub(crate) run_times: RouteRunTimes,
}

/// Passes the stored record to the entry and stores what the entry has learned, repeatedly until
/// the process ends.
pub(crate) async fn sync(store: Store, inputs: mpsc::Sender<Input>) {
    let mut pause = FIRST_INTERVAL;
    loop {
        if let Err(error) = exchange(&store, &inputs).await {
            log::warn!(dependency = "store"; "cannot exchange what entries have learned with the store: {error}");
        }
        tokio::time::sleep(pause).await;
        pause = INTERVAL;
    }
}

async fn exchange(store: &Store, inputs: &mpsc::Sender<Input>) -> Result<(), Error> {
    let (records, _) = store.read_newest(PARTITION).await?;
    let known = Learned {
        patience: decode(&records, PATIENCE_KEY),
        room: decode(&records, ROOM_KEY),
        run_times: decode(&records, RUN_TIMES_KEY),
    };
    let (reply, learned) = oneshot::channel();
    let sent = inputs.send(Input::Learned(known.clone(), reply)).await;
    let (Ok(()), Ok(learned)) = (sent, learned.await) else {
        // The entry's actor has ended.
        return Ok(());
    };
    if has_changed(&known.patience, &learned.patience, is_other_patience) {
        put(store, PATIENCE_KEY, &known.patience, &learned.patience).await?;
    }
    if has_changed(&known.room, &learned.room, is_other_room) {
        put(store, ROOM_KEY, &known.room, &learned.room).await?;
    }
    if has_changed(&known.run_times, &learned.run_times, are_other_run_times) {
        put(store, RUN_TIMES_KEY, &known.run_times, &learned.run_times).await?;
    }
    Ok(())
}

/// Writes one record.
async fn put<T: Debug + Serialize + Sync>(
    store: &Store,
    key: &str,
    known: &T,
    learned: &T,
) -> Result<(), Error> {
    let value = match serde_json::to_vec(learned) {
        Ok(value) => value,
        // Appends nothing, because an empty value would delete the record.
        Err(error) => {
            log::warn!("cannot encode the record {key}: {error}");
            return Ok(());
        }
    };
    store
        .append(PARTITION, &encode_keyed(key, &value), None)
        .await?;
    log::info!(key = key, before:? = known, now:? = learned; "what this entry has learned is on record");
    Ok(())
}

/// Decodes the record with this key. One that is missing, or that cannot be decoded, which another
/// writer must have written, counts as empty.
fn decode<T: Default + DeserializeOwned>(records: &[KeyedRecord], key: &str) -> T {
    let newest = records.iter().find(|record| record.key == key);
    let decoded = newest.map(|record| serde_json::from_slice(&record.value));
    decoded
        .unwrap_or_else(|| Ok(T::default()))
        .unwrap_or_else(|error| {
            log::warn!("the record {key} is ignored: {error}");
            T::default()
        })
}

/// Whether any learned value is missing in the record or, by `is_other`, differs from it.
fn has_changed<T>(
    known: &BTreeMap<Name, T>,
    learned: &BTreeMap<Name, T>,
    is_other: impl Fn(&T, &T) -> bool,
) -> bool {
    learned.iter().any(|(name, value)| {
        let before = known.get(name);
        before.is_none_or(|before| is_other(before, value))
    })
}

fn is_other_patience(before: &u64, now: &u64) -> bool {
    (*now as f64 / *before as f64 - 1.0).abs() > MIN_CHANGE
}

fn is_other_room(before: &UsualRoom, now: &UsualRoom) -> bool {
    let (before, now) = (before.cpu as f64, now.cpu as f64);
    now > before * ROOM_FACTOR || before > now * ROOM_FACTOR
}

fn are_other_run_times(before: &BTreeMap<Name, RunTime>, now: &BTreeMap<Name, RunTime>) -> bool {
    has_changed(before, now, |before, now| {
        now.mean > before.mean * RUN_TIME_FACTOR || before.mean > now.mean * RUN_TIME_FACTOR
    })
}
