//! The records by which agents find entries.

use crate::site::{DIRECTORY as TOPIC, Site};
use cassiarock_test_support::log::Stand;
use cassiarock_transient::roster::LINKS_PER_ENTRY;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::time::timeout;

const SOON: Duration = Duration::from_secs(5);

/// Puts the record of an entry that last said so many minutes ago that it is there.
fn put(store: &Stand, address: &str, minutes_ago: u64) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let renewed = now - Duration::from_secs(60 * minutes_ago);
    let value = format!("entry-9#1 {}", renewed.as_millis());
    put_value(store, address, value.as_bytes());
}

fn put_value(store: &Stand, address: &str, value: &[u8]) {
    let length = u8::try_from(address.len()).unwrap();
    store.put(TOPIC, [&[length], address.as_bytes(), value].concat());
}

async fn until(mut is_so: impl FnMut() -> bool) -> bool {
    let wait = async {
        while !is_so() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(SOON, wait).await.is_ok()
}

// Entries were replaced at new addresses, a few each week. Their records stayed for ever, and
// agents dialled them all; after some months they had no dial left for a new entry, and no
// caller of it was served.
#[tokio::test]
async fn an_entry_that_starts_clears_away_records_that_were_not_renewed_for_long() {
    let mut site = Site::start(1, 1).await;
    site.entries[0].door.with_fault(|fault| fault.lacks = None);
    put(&site.store, "127.9.9.1:1", 31);
    put(&site.store, "127.9.9.2:1", 29);
    put_value(&site.store, "127.9.9.3:1", b"\xff no time");
    site.entries[0].process.kill();
    site.entries[0].restart();
    let gone = "127.9.9.1:1".to_owned();
    assert!(until(|| !site.store.keys(TOPIC).contains(&gone)).await);
    let left = site.store.keys(TOPIC);
    assert_eq!(left.len(), 3, "the other two and its own: {left:?}");
}

// The same from an agent's side: it goes on dialling an address until the record is cleared.
#[tokio::test]
async fn an_agent_dials_an_entry_no_more_whose_record_was_cleared() {
    let site = Site::start(1, 1).await;
    site.entries[0].door.with_fault(|fault| fault.lacks = None);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    put(&site.store, &address, 0);
    for _ in 0..2 {
        let dialled = timeout(SOON, listener.accept()).await;
        assert!(dialled.is_ok(), "it dials, and dials again");
    }
    put_value(&site.store, &address, b"");
    tokio::time::sleep(Duration::from_millis(300)).await;
    // What it had under way waits in the queue of the listener.
    while timeout(Duration::from_millis(1), listener.accept())
        .await
        .is_ok()
    {}
    let again = timeout(Duration::from_secs(1), listener.accept()).await;
    assert!(again.is_err(), "it dials on");
}

/// How many reads the store answers for so many agents while an entry announces itself, beyond
/// those that go on anyway.
async fn reads_for_an_announcement(agents: usize) -> u64 {
    let site = Site::start(1, agents).await;
    site.entries[0].door.with_fault(|fault| fault.lacks = None);
    for agent in &site.agents {
        agent.door.with_fault(|fault| fault.down = false);
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    // All have read what is there and wait.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let before = site.store.reads();
    put(&site.store, &address, 0);
    for _ in 0..agents {
        let dialled = timeout(SOON, listener.accept()).await;
        assert!(dialled.is_ok(), "each agent hears of it");
    }
    site.store.reads() - before
}

// Each agent followed the directory: one entry that was restarted woke the waiting reads of all,
// and sixteen of them cost a fleet of 800 agents 12,800 calls to the store.
#[tokio::test]
async fn an_announcement_costs_the_store_as_many_reads_with_nine_agents_as_with_one() {
    let few = reads_for_an_announcement(1).await;
    let many = reads_for_an_announcement(9).await;
    assert!(
        many <= few + 1,
        "{few} reads with one agent, {many} with nine"
    );
}

// An agent was linked to an entry that the store turned away when another one announced itself.
// It has to hear of that as soon as any of its entries does.
#[tokio::test]
async fn an_agent_asks_for_what_it_lacks() {
    let site = Site::start(2, 1).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    put(&site.store, &address, 0);
    // The second entry has read all of it before it passes anything on.
    site.entries[1].door.with_fault(|fault| fault.lacks = None);
    let dialled = timeout(SOON, listener.accept()).await;
    assert!(dialled.is_ok());
}

// The seeds, three at most, had a link with each other entry for good.
#[tokio::test]
async fn entries_link_to_a_few_others_and_not_all_to_the_seeds() {
    const ENTRIES: usize = 16;
    let site = Site::start_entries(ENTRIES).await;
    let all = timeout(SOON, async {
        for entry in &site.entries {
            while entry
                .links()
                .await
                .is_none_or(|links| links < LINKS_PER_ENTRY)
            {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    });
    assert!(all.await.is_ok(), "each has its links");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut links = Vec::new();
    for entry in &site.entries {
        links.push(entry.links().await.unwrap());
    }
    assert!(links.iter().all(|count| *count < ENTRIES - 1), "{links:?}");
}

/// An outage of the store, long enough for pauses that double to exceed `RECOVERED`.
const OUTAGE: Duration = Duration::from_secs(9);

/// After an outage, processes have this long to be well again.
const RECOVERED: Duration = Duration::from_secs(3);

#[tokio::test]
async fn an_entry_that_started_during_an_outage_announces_itself_soon_after_it() {
    let mut site = Site::start_entries(1).await;
    assert!(until(|| !site.store.keys(TOPIC).is_empty()).await);
    let address = site.store.keys(TOPIC).remove(0);
    site.entries[0].process.kill();
    put_value(&site.store, &address, b"");
    site.entries[0].door.with_fault(|fault| fault.down = true);
    site.entries[0].restart();
    tokio::time::sleep(OUTAGE).await;
    site.entries[0].door.with_fault(|fault| fault.down = false);
    let ended = Instant::now();
    assert!(until(|| site.store.keys(TOPIC).contains(&address)).await);
    assert!(ended.elapsed() < RECOVERED, "{:?}", ended.elapsed());
}

#[tokio::test]
async fn an_agent_without_a_link_finds_a_new_entry_soon_after_an_outage() {
    let mut site = Site::start(1, 1).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    put(&site.store, &address, 0);
    site.entries[0].process.kill();
    tokio::time::sleep(OUTAGE).await;
    site.agents[0].door.with_fault(|fault| fault.down = false);
    let dialled = timeout(RECOVERED, listener.accept()).await;
    assert!(dialled.is_ok(), "{}", site.agents[0].process.output());
}
