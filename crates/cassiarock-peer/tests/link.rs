//! Links over real sockets between two ends in one process.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_id::{Job, Process, Wall};
use cassiarock_peer::{Dialer, Event, Identity, Key, Link, LinkTiming, Listener};
use cassiarock_wire::{Frame, Role};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, channel};
use tokio::time::timeout;

fn identity(name: &str) -> Identity {
    Identity {
        process: Process::new(name, 1),
        role: Role::Entry,
        data_centre: "dc-1".into(),
        address: "".into(),
        timing: LinkTiming::default(),
    }
}

fn find(bits: u64) -> Frame {
    Frame::Find(Job::with_bits(Wall::from_millis(1), bits))
}

async fn listen(key: &str) -> (SocketAddr, Receiver<Event>) {
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let address = listener.address();
    let (sender, events) = channel(16);
    tokio::spawn(listener.run(identity("server"), Key::new(key), sender));
    (address, events)
}

/// Dials as a client with this key; the link ends when the dialer is dropped.
fn dial(address: SocketAddr, wanted: Option<Process>, key: &str) -> (Dialer, Receiver<Event>) {
    let (sender, events) = channel(16);
    let dialer = Dialer::new(address, wanted, identity("client"), Key::new(key), sender);
    (dialer, events)
}

async fn up(events: &mut Receiver<Event>) -> Link {
    match events.recv().await {
        Some(Event::Up(link)) => link,
        other => panic!("no link but {other:?}"),
    }
}

#[tokio::test]
async fn frames_cross_in_both_directions() {
    let (address, mut server) = listen("secret").await;
    let (_dialer, mut client) = dial(address, None, "secret");
    let to_client = up(&mut server).await;
    let to_server = up(&mut client).await;
    assert_eq!(&*to_client.peer.process.name, "client");
    assert!(to_server.send(find(3)));
    assert!(to_client.send(find(2)));
    assert!(matches!(server.recv().await, Some(Event::Frame(_, frame)) if frame == find(3)));
    assert!(matches!(client.recv().await, Some(Event::Frame(_, frame)) if frame == find(2)));
}

// A process with another key dials a listener, which must reject it, accept no frames from it
// and send no event.
#[tokio::test]
async fn a_peer_with_another_key_is_rejected() {
    let (address, mut server) = listen("secret").await;
    let (_dialer, mut client) = dial(address, None, "wrong");
    let seen = timeout(Duration::from_millis(500), server.recv()).await;
    assert!(seen.is_err(), "the peer was accepted: {seen:?}");
    assert!(client.try_recv().is_err());
}

// An agent is replaced at the same address. An entry that still dials the old incarnation must
// reject the new one, whose ledger is empty.
#[tokio::test]
async fn another_incarnation_than_the_dialled_one_is_rejected() {
    let (address, _server) = listen("secret").await;
    let old = Some(Process::new("server", 0));
    let (_dialer, mut client) = dial(address, old, "secret");
    let seen = timeout(Duration::from_millis(500), client.recv()).await;
    assert!(seen.is_err(), "accepted as the old incarnation: {seen:?}");
}

// A device on the path drops the connection: it stays open, but nothing arrives any more. The
// link must time out and be replaced by a new one.
#[tokio::test]
async fn a_silent_link_is_closed_and_dialled_again() {
    let (address, mut server) = listen("secret").await;
    let (_dialer, mut client) = dial(address, None, "secret");
    let first = up(&mut client).await;
    let _server_link = up(&mut server).await;
    let down = client.recv().await;
    assert!(matches!(down, Some(Event::Down(_, serial)) if serial == first.serial));
    let second = up(&mut client).await;
    assert_ne!(first.serial, second.serial);
}
