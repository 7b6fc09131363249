//! The route table in force, which the callers' server and the entry's actor share.

use cassiarock_transient::RouteTable;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// The route table in force; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct SharedTable(watch::Sender<Option<Arc<RouteTable>>>);

impl SharedTable {
    /// Creates a shared table without a configuration.
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(None))
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Arc<RouteTable>>> {
        self.0.subscribe()
    }

    /// The version in force; 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.0.borrow().as_ref().map_or(0, |table| table.version)
    }

    /// Puts `table` in force unless the one in force is as new. `age` is the time since it was read
    /// from the store, or since another entry was asked for it; `unproved` is for how long it had
    /// not been proved that this entry lacks no order.
    pub(crate) fn adopt(
        &self,
        table: RouteTable,
        from: &'static str,
        age: Duration,
        unproved: Option<Duration>,
    ) -> bool {
        let (version, routes) = (table.version, table.len());
        let mut before = 0;
        let table = Arc::new(table);
        // Compared under the lock of the channel, as other threads may adopt a table meanwhile.
        let is_newer = self.0.send_if_modified(|current| {
            before = current.as_ref().map_or(0, |table| table.version);
            let is_newer = version > before;
            if is_newer {
                *current = Some(table);
            }
            is_newer
        });
        if !is_newer {
            return false;
        }
        let unproved_ms = unproved.map(|age| age.as_millis() as u64);
        log::info!(version = version, before = before, routes = routes, from = from, age_ms = age.as_millis(), unproved_ms = unproved_ms; "configuration in force");
        metrics::gauge!("cassiarock_configuration_version").set(version as f64);
        metrics::histogram!("cassiarock_configuration_age_seconds", "from" => from).record(age);
        true
    }
}
