//! Follows what operators order: the configuration, and the data centres to empty.

use crate::entry::Input;
use crate::follow::{Feed, News, follow};
use cassiarock_adapter::Store;
use cassiarock_adapter::operator::{Order, TOPIC};
use cassiarock_id::Name;
use cassiarock_transient::evacuation;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// A configuration of 1,700 routes is some 250 KB, a second of a link of 2 Mbit/s. Read one at
/// a time, those that come while one is read and have been replaced by then are never read.
const FEED: Feed = Feed {
    topic: TOPIC,
    read_kb: 1,
    skips: true,
    pause: Duration::ZERO,
};

/// All that operators order, as far as it has been read.
#[derive(Clone, Debug, Default)]
struct Orders {
    configuration: Option<Name>,
    evacuations: evacuation::State,
}

impl Orders {
    fn take(&mut self, news: News<'_>) {
        match news {
            News::Newest(entries, end) => {
                let mut evacuated = Vec::new();
                for order in entries.iter().filter_map(Order::from_record) {
                    match order {
                        Order::Configuration(text) => self.configuration = Some(text),
                        Order::Evacuate(data_centre) => evacuated.push(data_centre),
                        Order::Restore(_) => {}
                    }
                }
                self.evacuations = evacuation::State::new(end, evacuated);
            }
            News::Record(offset, key, value) => match Order::decode(key, value) {
                Some(Order::Configuration(text)) => self.configuration = Some(text),
                Some(Order::Evacuate(place)) => self.evacuations.apply(offset, place, true),
                Some(Order::Restore(place)) => self.evacuations.apply(offset, place, false),
                None => {}
            },
            News::Read => {}
        }
    }
}

/// Tells the entry what operators order, for ever. An entry that is behind is told the newest
/// orders only, but never none.
pub(crate) async fn orders(store: Store, inputs: mpsc::Sender<Input>) {
    let (known, changes) = watch::channel(Orders::default());
    let following = follow(store, FEED, |news| {
        known.send_modify(|orders| orders.take(news));
    });
    tokio::join!(following, tell(changes, inputs));
}

async fn tell(mut changes: watch::Receiver<Orders>, inputs: mpsc::Sender<Input>) {
    let mut told = Orders::default();
    while changes.changed().await.is_ok() {
        let orders = changes.borrow_and_update().clone();
        // Evacuations first: a new process must not use a data centre for the moment between.
        if orders.evacuations != told.evacuations {
            let input = Input::Evacuations(orders.evacuations.clone());
            if inputs.send(input).await.is_err() {
                return;
            }
        }
        if let Some(text) = &orders.configuration
            && !is_same(&told.configuration, text)
            && inputs
                .send(Input::Configuration(text.clone()))
                .await
                .is_err()
        {
            return;
        }
        told = orders;
    }
}

/// Whether it is the very text that was told, without reading it through.
fn is_same(told: &Option<Name>, text: &Name) -> bool {
    told.as_ref().is_some_and(|told| Arc::ptr_eq(told, text))
}
