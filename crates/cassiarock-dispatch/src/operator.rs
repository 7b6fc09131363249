//! Follows the operators' orders: the configuration, and the data centres to evacuate.

use crate::entry::Input;
use crate::follow::{Pace, Subscription, TopicEvent, follow};
use crate::freshness::SharedFreshness;
use cassiarock_adapter::Store;
use cassiarock_adapter::operator::{Order, TOPIC};
use cassiarock_id::Name;
use cassiarock_transient::evacuation;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// A configuration of 1,700 routes is some 250 KB, which takes a second over a link of 2 Mbit/s.
/// Records are read one at a time, so that those written during a read and replaced before its end
/// are never read.
const SUBSCRIPTION: Subscription = Subscription {
    topic: TOPIC,
    max_read_kb: 1,
    skips_to_newest: true,
    pause: Duration::ZERO,
};

/// The operators' orders that have been read.
#[derive(Clone, Debug, Default)]
struct OperatorOrders {
    configuration: Option<Name>,
    evacuations: evacuation::State,
}

impl OperatorOrders {
    fn apply(&mut self, event: TopicEvent<'_>) {
        match event {
            TopicEvent::Newest(records, end) => {
                let mut evacuated = Vec::new();
                for order in records.iter().filter_map(Order::from_record) {
                    match order {
                        Order::Configuration(text) => self.configuration = Some(text),
                        Order::Evacuate(data_centre) => evacuated.push(data_centre),
                        Order::Restore(_) => {}
                    }
                }
                self.evacuations = evacuation::State::new(end, evacuated);
            }
            TopicEvent::Record(offset, key, value) => match Order::decode(key, value) {
                Some(Order::Configuration(text)) => self.configuration = Some(text),
                Some(Order::Evacuate(data_centre)) => {
                    self.evacuations.apply(offset, data_centre, true)
                }
                Some(Order::Restore(data_centre)) => {
                    self.evacuations.apply(offset, data_centre, false)
                }
                None => {}
            },
            TopicEvent::ReadCompleted => {}
        }
    }
}

/// Passes the operators' orders to the entry until the process ends. An entry that is behind gets
/// only the newest orders, but always those.
pub(crate) async fn follow_orders(
    store: Store,
    freshness: SharedFreshness,
    inputs: mpsc::Sender<Input>,
) {
    let (known, changes) = watch::channel(OperatorOrders::default());
    let following = follow(store, SUBSCRIPTION, Pace::Fresh(freshness), |event| {
        known.send_modify(|orders| orders.apply(event));
    });
    tokio::join!(following, forward(changes, inputs));
}

async fn forward(mut changes: watch::Receiver<OperatorOrders>, inputs: mpsc::Sender<Input>) {
    let mut sent = OperatorOrders::default();
    while changes.changed().await.is_ok() {
        let orders = changes.borrow_and_update().clone();
        // Evacuations come before the configuration, so that a new process does not use an evacuated
        // data centre in between.
        if orders.evacuations != sent.evacuations {
            let input = Input::Evacuations(orders.evacuations.clone());
            if inputs.send(input).await.is_err() {
                return;
            }
        }
        if let Some(text) = &orders.configuration
            && !is_same_text(&sent.configuration, text)
            && inputs
                .send(Input::Configuration(text.clone(), Instant::now()))
                .await
                .is_err()
        {
            return;
        }
        sent = orders;
    }
}

/// Whether `text` is the text that was sent last. Compares the pointers, not the contents.
fn is_same_text(sent: &Option<Name>, text: &Name) -> bool {
    sent.as_ref().is_some_and(|sent| Arc::ptr_eq(sent, text))
}
