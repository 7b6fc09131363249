//! Following a log that fails, is cut, or is joined late.

use cassiarock_id::{Process, Wall};
use cassiarock_platform::{Follower, Log, Reader, follow, snapshot};
use cassiarock_rule::record::Body;
use cassiarock_rule::{Member, Record, State};
use cassiarock_test_support::log::Stand;
use std::sync::Arc;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(20);

fn log(stand: &Stand) -> Log {
    let log = Log::new(stand.url()).expect("an HTTP client");
    log.with_timeout(Duration::from_millis(200))
}

fn join(stand: &Stand, name: &str) -> u64 {
    let member = Member::new(Process::new(name, 1), ([127, 0, 0, 1], 7001).into());
    append(stand, Body::Joined { member })
}

fn append(stand: &Stand, body: Body) -> u64 {
    let record = Record::new(Wall::now(), "test", body);
    stand.append(record.encode().expect("a record")) + 1
}

async fn read(stand: &Stand) -> Reader {
    let mut reader = Reader::new(log(stand));
    reader.catch_up().await.expect("a log that answers");
    reader
}

async fn snapshot(stand: &Stand) -> Body {
    let state = read(stand).await.state().cloned().expect("a state");
    Body::Snapshot {
        state: Box::new(state),
    }
}

async fn wait(follower: &Follower, until: impl Fn(&follow::Status) -> bool) -> follow::Status {
    let mut status = follower.subscribe();
    let found = tokio::time::timeout(LIMIT, status.wait_for(|status| until(status))).await;
    found.expect("in time").expect("a running follower").clone()
}

fn members(status: &follow::Status) -> usize {
    status
        .state
        .as_ref()
        .map_or(0, |state| state.membership.members.len())
}

#[tokio::test]
async fn a_record_reaches_every_follower_wherever_it_began() {
    let stand = Stand::start().await.unwrap();
    let early = Follower::start(log(&stand));
    let next = join(&stand, "a");
    wait(&early, |status| status.next() == next).await;
    let late = Follower::start(log(&stand));
    let next = join(&stand, "b");
    let early = wait(&early, |status| status.next() == next).await;
    let late = wait(&late, |status| status.next() == next).await;
    assert_eq!(early.state, late.state);
    assert_eq!(members(&late), 2);
}

// The log goes down: processes keep their state, and read later records when it is back.
#[tokio::test]
async fn a_follower_keeps_its_state_through_an_outage_and_then_catches_up() {
    let stand = Stand::start().await.unwrap();
    join(&stand, "a");
    let follower = Follower::start(log(&stand));
    wait(&follower, |status| members(status) == 1).await;
    stand.with_fault(|fault| fault.down = true);
    join(&stand, "b");
    let status = wait(&follower, |status| !status.reachable).await;
    assert!(members(&status) >= 1);
    stand.with_fault(|fault| fault.down = false);
    let status = wait(&follower, |status| status.reachable && status.current).await;
    assert_eq!(members(&status), 2);
}

// The connection to the log goes silent for good, though new ones work. A change made then must
// still arrive: the waiting read is abandoned and another connection opened.
#[tokio::test]
async fn a_silent_connection_is_given_up_for_a_new_one() {
    let stand = Stand::start().await.unwrap();
    let follower = Follower::start(log(&stand).with_poll(Duration::from_millis(300)));
    wait(&follower, |status| status.current).await;
    stand.with_fault(|fault| fault.silent = true);
    let next = join(&stand, "a");
    tokio::time::sleep(Duration::from_millis(100)).await;
    stand.with_fault(|fault| fault.silent = false);
    assert_eq!(
        members(&wait(&follower, |status| status.next() == next).await),
        1
    );
}

// The whole system is restarted while the log is down. A process learns the state from a peer,
// does not go back when a peer offers an older state, and follows the log when it is back.
#[tokio::test]
async fn a_process_that_starts_while_the_log_is_down_learns_from_peers() {
    let stand = Stand::start().await.unwrap();
    join(&stand, "a");
    let old = read(&stand).await.state().cloned().unwrap();
    join(&stand, "b");
    let new = read(&stand).await.state().cloned().unwrap();
    stand.with_fault(|fault| fault.down = true);
    let follower = Follower::start(log(&stand));
    follower.offer(Arc::new(new));
    wait(&follower, |status| members(status) == 2).await;
    follower.offer(Arc::new(old));
    let next = join(&stand, "c");
    stand.with_fault(|fault| fault.down = false);
    let mut status = follower.subscribe();
    loop {
        let seen = status.borrow_and_update().clone();
        assert!(seen.state.is_none() || members(&seen) >= 2, "went back");
        if seen.next() == next {
            break;
        }
        tokio::time::timeout(LIMIT, status.changed())
            .await
            .unwrap()
            .unwrap();
    }
}

// Retention cuts the log while no new process reads it; the next one starts from the snapshot.
#[tokio::test]
async fn a_new_process_starts_from_the_snapshot_of_a_cut_log() {
    let stand = Stand::start().await.unwrap();
    join(&stand, "a");
    let snapshot = snapshot(&stand).await;
    join(&stand, "b");
    append(&stand, snapshot);
    stand.cut(1);
    let state = read(&stand).await.state().cloned().unwrap();
    assert_eq!(state.membership.members.len(), 2);
}

// A process takes a snapshot and stalls. An agent joins, retention deletes that record, and the
// process appends its snapshot after all. A new process that took it would never give work to
// the agent; so it waits, until a process with the full state writes a snapshot.
#[tokio::test]
async fn a_stalled_process_that_appends_an_old_snapshot_reverts_nobody() {
    let stand = Stand::start().await.unwrap();
    join(&stand, "a");
    let stalled = snapshot(&stand).await;
    join(&stand, "b");
    let running = Follower::start(log(&stand));
    wait(&running, |status| members(status) == 2).await;
    stand.cut(2);
    append(&stand, stalled);
    let fresh = Follower::start(log(&stand));
    let status = wait(&fresh, |status| status.searching).await;
    assert!(status.state.is_none());
    let by = "running";
    let retention = Duration::from_millis(400);
    let _writers: Vec<_> = (0..40)
        .map(|_| snapshot::Writer::start(log(&stand), running.subscribe(), by, retention))
        .collect();
    let status = wait(&fresh, |status| status.current).await;
    assert_eq!(members(&status), 2);
}

// Retention deletes records that a paused process has not read. It must keep its state and must
// not report itself as current.
#[tokio::test]
async fn a_reader_overtaken_by_retention_says_so_and_is_helped_by_a_peer() {
    let stand = Stand::start().await.unwrap();
    join(&stand, "a");
    let mut paused = read(&stand).await;
    join(&stand, "b");
    let peer = read(&stand).await;
    stand.cut(2);
    paused.catch_up().await.unwrap();
    assert!(paused.is_searching() && !paused.is_current());
    assert_eq!(paused.state().map(|state| state.next), Some(1));
    assert!(paused.offer(peer.state().cloned().unwrap()));
    assert!(paused.is_current());
}

// The settings name another log, or the log lost its records: nothing may be reverted by it.
#[tokio::test]
async fn a_log_that_ends_before_what_was_read_is_refused() {
    let stand = Stand::start().await.unwrap();
    let mut reader = Reader::new(log(&stand));
    let mut known = State::default();
    known.skip(4);
    reader.offer(known.clone());
    assert!(reader.catch_up().await.is_err());
    assert_eq!(reader.state(), Some(&known));
}

// A long log: what a new process reads is bounded by the snapshot, not by the log's length.
#[tokio::test]
async fn a_snapshot_bounds_what_a_new_process_reads() {
    let stand = Stand::start().await.unwrap();
    for round in 0..6_000_u64 {
        let process = Process::new("a", round);
        append(&stand, Body::Left { process });
    }
    let before = stand.bytes_read();
    let whole = read(&stand).await;
    let without = stand.bytes_read() - before;
    append(&stand, snapshot(&stand).await);
    let before = stand.bytes_read();
    let quick = read(&stand).await;
    let with = stand.bytes_read() - before;
    assert_eq!(quick.state().map(|state| state.next), Some(6_001));
    assert_eq!(
        whole.state().map(|state| &state.membership),
        quick.state().map(|state| &state.membership)
    );
    assert!(
        with * 4 < without,
        "{with} bytes with a snapshot, {without} without"
    );
}
