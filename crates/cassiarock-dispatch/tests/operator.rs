//! How the operators' orders get from the store into force.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(dead_code, reason = "the modules of the entry are used in part")]

#[path = "../src/follow.rs"]
mod follow;
#[path = "../src/freshness.rs"]
mod freshness;
#[path = "../src/operator.rs"]
mod operator;
#[path = "../src/route_table.rs"]
mod route_table;

use cassiarock_adapter::Store;
use cassiarock_process::Clock;
use cassiarock_test_support::log::Stand;
use cassiarock_test_support::proxy::{Direction, Fault, Proxy, Scope};
use cassiarock_transient::RouteTable;
use cassiarock_transient::table::RequestLimits;
use freshness::SharedFreshness;
use operator::{Update, follow_orders};
use route_table::SharedTable;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// What operators allow for a change to be in force.
const IN_FORCE: Duration = Duration::from_secs(2);

fn publish(stand: &Stand, version: u64) {
    let text = format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"a.example","pathPrefix":"/v{version}/","service":"s"}}]}}"#
    );
    stand.put("keyed.op", [&[6][..], b"config", text.as_bytes()].concat());
}

// Under load, an entry read a configuration and put it in force seconds later, when its actor had
// handled the calls and messages before it. Its callers were told meanwhile that new routes do
// not exist.
#[tokio::test]
async fn a_configuration_is_in_force_while_the_actor_is_behind() {
    let stand = Stand::start().await.unwrap();
    let table = SharedTable::new();
    let mut tables = table.subscribe();
    let (updates, mut received) = mpsc::channel(1);
    let freshness = SharedFreshness::new(Clock::new());
    let store = Store::new(stand.url()).unwrap();
    tokio::spawn(follow_orders(store, freshness, table, updates));
    for version in 1..6 {
        publish(&stand, version);
        let has_version = tables.wait_for(|table| {
            let table = table.as_ref();
            table.is_some_and(|table| table.version == version)
        });
        timeout(IN_FORCE, has_version).await.unwrap().unwrap();
    }
    // The actor gets the newest one when it goes on.
    let newest = async {
        loop {
            if let Some(Update::Configuration(5, _)) = received.recv().await {
                return;
            }
        }
    };
    timeout(IN_FORCE, newest).await.unwrap();
}

#[tokio::test]
async fn a_configuration_that_is_older_or_cannot_be_decoded_is_not_taken() {
    let stand = Stand::start().await.unwrap();
    let table = SharedTable::new();
    let mut tables = table.subscribe();
    let (updates, _received) = mpsc::channel(8);
    let freshness = SharedFreshness::new(Clock::new());
    let store = Store::new(stand.url()).unwrap();
    tokio::spawn(follow_orders(store, freshness, table.clone(), updates));
    publish(&stand, 4);
    timeout(IN_FORCE, tables.wait_for(Option::is_some))
        .await
        .unwrap()
        .unwrap();
    publish(&stand, 3);
    stand.put(
        "keyed.op",
        [&[6][..], b"config", b"{\"version\":9"].concat(),
    );
    publish(&stand, 5);
    let has_newest =
        tables.wait_for(|table| table.as_ref().is_some_and(|table| table.version != 4));
    timeout(IN_FORCE, has_newest).await.unwrap().unwrap();
    assert_eq!(table.version(), 5);
}

// The reader of the store and the actor compare versions before they replace the table.
#[test]
fn a_table_is_never_replaced_by_an_older_one_of_another_thread() {
    for round in 0..300 {
        let table = SharedTable::new();
        let barrier = std::sync::Barrier::new(2);
        std::thread::scope(|scope| {
            for first in [1, 2] {
                let (table, barrier) = (table.clone(), &barrier);
                scope.spawn(move || {
                    barrier.wait();
                    for version in (first..200).step_by(2) {
                        let routes = RouteTable::new(version, limits(), Vec::new());
                        table.adopt(routes, "a test", Duration::ZERO, None);
                        assert!(table.version() >= version, "round {round}");
                    }
                });
            }
        });
    }
}

const fn limits() -> RequestLimits {
    RequestLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 65_536,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    }
}

// An answer that is held up on its way says nothing of the time since the store has sent it.
#[tokio::test]
async fn a_late_answer_of_the_store_proves_orders_only_up_to_its_request() {
    let held_up = Duration::from_millis(400);
    let stand = Stand::start().await.unwrap();
    publish(&stand, 1);
    let address = stand.url().trim_start_matches("http://").parse().unwrap();
    let proxy = Proxy::new().unwrap().with_target(address);
    proxy.set(Scope::All, Direction::Down, Fault::Delay(held_up));
    let table = SharedTable::new();
    let (updates, _received) = mpsc::channel(8);
    let freshness = SharedFreshness::new(Clock::new());
    let store = Store::new(proxy.url()).unwrap();
    tokio::spawn(follow_orders(
        store,
        freshness.clone(),
        table.clone(),
        updates,
    ));
    let age = async {
        loop {
            if let Some(age) = freshness.age() {
                return age;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let age = timeout(IN_FORCE, age).await.unwrap();
    assert!(age >= held_up, "{age:?}");
}
