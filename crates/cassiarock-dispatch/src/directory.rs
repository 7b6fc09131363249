//! Where entries take links: a topic of our own on the platform's store.

use crate::follow::follow;
use cassiarock_adapter::Store;
use cassiarock_adapter::store::{Part, keyed};
use cassiarock_id::Process;
use cassiarock_platform::follow::Backoff;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// Each entry has one record, by its address.
const TOPIC: &str = "keyed.entries";

/// Announces an entry, trying until the store takes it.
pub(crate) async fn announce(store: Store, address: SocketAddr, process: Process) {
    let record = keyed(&address.to_string(), process.to_string().as_bytes());
    let to = Part {
        topic: TOPIC,
        part: 0,
    };
    let mut backoff = Backoff::default();
    loop {
        match store.append(to, &record, None).await {
            Ok(offset) => {
                log::info!(address:% = address, offset = offset; "announced");
                return;
            }
            // A second record of the same key and value does no harm.
            Err(error) => {
                log::warn!("announce: {error}");
                tokio::time::sleep(backoff.fail(rand::random())).await;
            }
        }
    }
}

/// Tells the addresses of entries, for ever. A record that cannot be read names none.
pub(crate) async fn addresses(store: Store, found: mpsc::Sender<SocketAddr>) {
    follow(store, TOPIC, |key, value| {
        if let Ok(address) = key.parse()
            && !value.is_empty()
            && found.try_send(address).is_err()
        {
            log::warn!(address = key; "entry left out: too many at once");
        }
    })
    .await;
}
