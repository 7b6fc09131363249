//! Links between two ends in one process, over real sockets.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_id::{Job, Process, Wall};
use cassiarock_peer::{Dialer, Event, Identity, Key, Link, Listener, Tempo};
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
        tempo: Tempo::default(),
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

/// Dials as a client with this key; the link lives as long as the dialer.
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

// A process with another key dials an agent. The agent must not take its frames: it
// turns the stranger away and tells its own process nothing.
#[tokio::test]
async fn a_stranger_is_turned_away() {
    let (address, mut server) = listen("secret").await;
    let (_dialer, mut client) = dial(address, None, "wrong");
    let seen = timeout(Duration::from_millis(500), server.recv()).await;
    assert!(seen.is_err(), "the stranger was let in: {seen:?}");
    assert!(client.try_recv().is_err());
}

// An agent is replaced at the same address. An entry that still dials the old one must
// not take the new one for it: the new one's ledger is empty.
#[tokio::test]
async fn another_incarnation_is_not_taken_for_the_one_dialled() {
    let (address, _server) = listen("secret").await;
    let old = Some(Process::new("server", 0));
    let (_dialer, mut client) = dial(address, old, "secret");
    let seen = timeout(Duration::from_millis(500), client.recv()).await;
    assert!(seen.is_err(), "taken for the old one: {seen:?}");
}

// Something between two ends loses the connection: it stays open and nothing comes any
// more. The link must be found dead and replaced by a new one.
#[tokio::test]
async fn a_silent_link_is_closed_and_dialled_again() {
    let (address, mut server) = listen("secret").await;
    let (_dialer, mut client) = dial(address, None, "secret");
    let first = up(&mut client).await;
    let _kept = up(&mut server).await;
    let down = client.recv().await;
    assert!(matches!(down, Some(Event::Down(_, serial)) if serial == first.serial));
    let second = up(&mut client).await;
    assert_ne!(first.serial, second.serial);
}
