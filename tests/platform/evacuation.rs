//! Operators empty data centres and take that back.

use crate::job::{PATIENCE, Reply, completed, hand_in, submit};
use crate::site::{Entry, Site, body};
use cassiarock_test_support::leased::Run;
use std::time::{Duration, Instant};

/// How long after the store has taken an order tasks may still start there: a tenth of what
/// operators allow.
const IN_FORCE: Duration = Duration::from_millis(500);

/// How soon a data centre is used again.
const BACK: Duration = Duration::from_secs(1);

/// How soon what was missed is known once the store can be reached again.
const CAUGHT_UP: Duration = Duration::from_secs(2);

/// An entry that has just started waits for agents that may still dial.
const DIALLING: Duration = Duration::from_secs(1);

const EMPTIED: &str = "dc-1";

/// Tasks of a core that two upstreams have no room for.
const MORE: u32 = 40;

/// Agents with even numbers are in the first of two data centres.
fn is_emptied(run: &Run) -> bool {
    let mut parts = run.upstream.split('-');
    let number: usize = parts.nth(1).unwrap().parse().unwrap();
    number.is_multiple_of(2)
}

/// Starts in the first data centre later than `since`.
fn starts_after(site: &Site, since: Instant) -> usize {
    let runs = site.witness.runs();
    let starts = runs.iter().filter(|run| is_emptied(run));
    starts.filter(|run| run.began > since).count()
}

/// Hands in jobs one after the other that fill both data centres. Gives how many were completed.
async fn load(entry: &Entry, first: u32, lasts: Duration) -> (u32, u32) {
    let until = Instant::now() + lasts;
    let (mut all, mut done) = (0, 0);
    while Instant::now() < until {
        let id = format!("{:016x}", first + all);
        let reply = submit(entry, &id, &body(12, 20), PATIENCE).await;
        all += 1;
        done += u32::from(reply == completed());
    }
    (all, done)
}

async fn has_begun(site: &Site, id: &str) {
    let until = Instant::now() + PATIENCE;
    while !site.witness.has_begun(id) {
        assert!(Instant::now() < until);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Waits until something starts in the first data centre, under jobs that the other one has no
/// room for: smaller ones may rightly all go to upstreams that were faster of late.
async fn is_used(site: &Site, entry: &Entry, first: u32, limit: Duration) {
    let since = Instant::now();
    let mut number = first;
    while starts_after(site, since) == 0 {
        assert!(since.elapsed() < limit, "{}", entry.process.output());
        let id = format!("{number:016x}");
        submit(entry, &id, &body(MORE, 20), PATIENCE).await;
        number += 1;
    }
}

// An operator ordered a data centre to be emptied before work on its power. Nothing in the
// system read the order, and tasks went on starting there until the power was cut.
#[tokio::test]
async fn nothing_starts_in_a_data_centre_that_is_emptied_and_what_runs_there_ends() {
    let site = Site::start_in_two(2, 4, false).await;
    let entry = &site.entries[0];
    let long = hand_in(entry, "00000000000000e0", body(24, 1_200), PATIENCE);
    has_begun(&site, "00000000000000e0").await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let ordered = site.evacuate(EMPTIED);
    let (all, done) = load(entry, 0x100, Duration::from_secs(2)).await;
    assert_eq!(starts_after(&site, ordered + IN_FORCE), 0);
    assert_eq!(all, done);
    assert_eq!(long.await.unwrap(), completed());
    assert_eq!(site.witness.done("00000000000000e0"), 24);
    site.restore(EMPTIED);
    is_used(&site, entry, 0x1000, BACK).await;
    site.assert_never_twice();
}

// The store turned one entry away when the order came, and it had no link to another entry. It
// went on placing tasks there; the agents, which knew of the order from other entries, took them.
#[tokio::test]
async fn agents_turn_away_what_an_entry_orders_that_has_not_heard() {
    let site = Site::start_in_two(2, 4, false).await;
    site.entries[1].door.with_fault(|fault| fault.silent = true);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let ordered = site.evacuate(EMPTIED);
    let (all, done) = load(&site.entries[1], 0x100, Duration::from_secs(2)).await;
    assert_eq!(starts_after(&site, ordered + IN_FORCE), 0);
    assert_eq!(all, done);
}

// An entry lost the store; meanwhile the order was taken back, and the store forgot its history.
// The record that took it back was never seen, so the data centre stayed empty for good.
#[tokio::test]
async fn an_order_that_was_taken_back_unseen_ends_when_the_store_is_back() {
    let site = Site::start_in_two(1, 2, false).await;
    let entry = &site.entries[0];
    let ordered = site.evacuate(EMPTIED);
    load(entry, 0x100, IN_FORCE * 2).await;
    assert_eq!(starts_after(&site, ordered + IN_FORCE), 0);
    entry.door.with_fault(|fault| fault.down = true);
    site.restore(EMPTIED);
    site.store.compact("keyed.op");
    tokio::time::sleep(Duration::from_millis(500)).await;
    entry.door.with_fault(|fault| fault.down = false);
    is_used(&site, entry, 0x1000, CAUGHT_UP).await;
}

// All data centres were emptied. Jobs waited for room until their callers left.
#[tokio::test]
async fn with_all_data_centres_emptied_callers_are_refused_at_once() {
    let site = Site::start_in_two(1, 2, false).await;
    let entry = &site.entries[0];
    site.evacuate("dc-1");
    site.evacuate("dc-2");
    tokio::time::sleep(DIALLING).await;
    let began = Instant::now();
    let id = "00000000000000e1";
    let reply = submit(entry, id, &body(4, 20), PATIENCE).await;
    let has_retry_after = true;
    assert_eq!(reply, Reply::Refused { has_retry_after });
    assert!(began.elapsed() < Duration::from_millis(200));
    assert!(!site.witness.has_begun(id));
    site.restore("dc-2");
    tokio::time::sleep(BACK).await;
    let reply = submit(entry, id, &body(4, 20), PATIENCE).await;
    assert_eq!(reply, completed());
}

// An entry was restarted while the store turned it away. It took the configuration from another
// entry and placed tasks in the data centre that was being emptied.
#[tokio::test]
async fn an_entry_without_the_store_hears_of_the_order_from_another() {
    let mut site = Site::start_in_two(2, 4, true).await;
    let ordered = site.evacuate(EMPTIED);
    site.entries[1].process.kill();
    site.entries[1].door.with_fault(|fault| fault.down = true);
    site.entries[1].restart();
    site.entries[1].linked(2, PATIENCE * 4).await;
    let (all, done) = load(&site.entries[1], 0x100, BACK).await;
    assert_eq!(starts_after(&site, ordered + IN_FORCE), 0);
    assert!(done * 10 >= all * 9, "{done} of {all}");
}

// All machines lost power while a data centre was being emptied. What came back had forgotten
// the order.
#[tokio::test]
async fn the_order_holds_after_all_processes_were_killed() {
    let mut site = Site::start_in_two(1, 4, false).await;
    site.evacuate(EMPTIED);
    tokio::time::sleep(IN_FORCE).await;
    site.store.compact("keyed.op");
    for agent in &mut site.agents {
        agent.process.kill();
    }
    site.entries[0].process.kill();
    let killed = Instant::now();
    site.entries[0].restart();
    for agent in &mut site.agents {
        agent.restart();
    }
    site.entries[0].linked(2, PATIENCE * 4).await;
    let (all, done) = load(&site.entries[0], 0x100, BACK).await;
    assert_eq!(starts_after(&site, killed), 0);
    assert_eq!(all, done);
}

// An order named a data centre that does not exist, another one that has no upstream.
#[tokio::test]
async fn an_order_for_a_data_centre_without_upstreams_changes_nothing() {
    let site = Site::start_in_two(1, 2, false).await;
    site.evacuate("dc-9");
    site.evacuate("");
    tokio::time::sleep(IN_FORCE).await;
    assert_eq!(site.entries[0].open().await, Some(2));
    let (all, done) = load(&site.entries[0], 0x100, IN_FORCE).await;
    assert_eq!(all, done);
}

// Two orders overlapped; the first one's end gave both data centres up for use.
#[tokio::test]
async fn of_two_orders_that_overlap_each_ends_by_itself() {
    let site = Site::start_in_two(1, 2, false).await;
    let entry = &site.entries[0];
    site.evacuate("dc-1");
    site.evacuate("dc-2");
    site.restore("dc-2");
    let restored = Instant::now();
    tokio::time::sleep(IN_FORCE).await;
    assert_eq!(entry.open().await, Some(1));
    let (all, done) = load(entry, 0x100, IN_FORCE).await;
    assert_eq!(all, done);
    assert_eq!(starts_after(&site, restored + IN_FORCE), 0);
}
