//! Follows the operators' orders: the configuration, and the data centres to evacuate.

use crate::follow::{Pace, Subscription, TopicEvent, follow};
use crate::freshness::SharedFreshness;
use crate::route_table::SharedTable;
use cassiarock_adapter::operator::{Order, TOPIC};
use cassiarock_adapter::{Store, configuration};
use cassiarock_id::Name;
use cassiarock_transient::evacuation;
use std::error::Error;
use std::fmt::Display;
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

/// An update of the operators' orders for the entry's actor.
#[derive(Debug)]
pub(crate) enum Update {
    /// The version and the text of a configuration whose route table is in force.
    Configuration(u64, Name),
    /// The data centres to evacuate.
    Evacuations(evacuation::State),
}

/// The operators' orders that have been read.
#[derive(Clone, Debug, Default)]
struct OperatorOrders {
    /// The version and the text of the configuration.
    configuration: Option<(u64, Name)>,
    evacuations: evacuation::State,
}

impl OperatorOrders {
    /// `unproved` is for how long it has not been proved that the entry lacks no order.
    fn apply(&mut self, event: TopicEvent<'_>, table: &SharedTable, unproved: Option<Duration>) {
        match event {
            TopicEvent::Newest(records, end) => {
                let mut evacuated = Vec::new();
                for order in records.iter().filter_map(Order::from_record) {
                    match order {
                        Order::Configuration(text) => self.configure(text, table, unproved),
                        Order::Evacuate(data_centre) => evacuated.push(data_centre),
                        Order::Restore(_) => {}
                    }
                }
                self.evacuations = evacuation::State::new(end, evacuated);
            }
            TopicEvent::Record(offset, key, value) => match Order::decode(key, value) {
                Some(Order::Configuration(text)) => self.configure(text, table, unproved),
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

    /// Puts the configuration's route table in force at once. In the queue to the actor it would
    /// wait behind calls and messages, and callers would be told that a new route does not exist.
    fn configure(&mut self, text: Name, table: &SharedTable, unproved: Option<Duration>) {
        let read_at = Instant::now();
        match configuration::decode(&text) {
            Ok(routes) => {
                self.configuration = Some((routes.version, text));
                table.adopt(routes, "the store", read_at.elapsed(), unproved);
            }
            Err(error) => ignore_configuration("the store", &"the store", &error),
        }
    }
}

/// Logs a configuration that cannot be decoded. The one before it stays in force.
/// `sender` is the entry that sent it, or the same as `from`.
pub(crate) fn ignore_configuration(from: &'static str, sender: &dyn Display, error: &dyn Error) {
    log::warn!(from:% = sender; "configuration ignored: {error}");
    metrics::counter!("cassiarock_configurations_ignored_total", "from" => from).increment(1);
}

/// Puts the route tables of configurations in force as they are read, and passes all orders to the
/// entry's actor, until the process ends. An actor that is behind gets only the newest orders, but
/// always those.
pub(crate) async fn follow_orders(
    store: Store,
    freshness: SharedFreshness,
    table: SharedTable,
    updates: mpsc::Sender<Update>,
) {
    let (known, changes) = watch::channel(OperatorOrders::default());
    let pace = Pace::Fresh(freshness.clone());
    let following = follow(store, SUBSCRIPTION, pace, |event| {
        let unproved = freshness.age();
        known.send_modify(|orders| orders.apply(event, &table, unproved));
    });
    tokio::join!(following, forward(changes, updates));
}

async fn forward(mut changes: watch::Receiver<OperatorOrders>, updates: mpsc::Sender<Update>) {
    let mut sent = OperatorOrders::default();
    while changes.changed().await.is_ok() {
        let orders = changes.borrow_and_update().clone();
        // Evacuations come before the configuration, so that a new process does not use an evacuated
        // data centre in between.
        if orders.evacuations != sent.evacuations {
            let update = Update::Evacuations(orders.evacuations.clone());
            if updates.send(update).await.is_err() {
                return;
            }
        }
        let is_sent = |version| sent.configuration.as_ref().map(|(sent, _)| *sent) == Some(version);
        if let Some((version, text)) = &orders.configuration
            && !is_sent(*version)
        {
            let update = Update::Configuration(*version, text.clone());
            if updates.send(update).await.is_err() {
                return;
            }
        }
        sent = orders;
    }
}
