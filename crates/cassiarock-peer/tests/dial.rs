//! How soon a peer is found that was away, and what it costs to look for it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_id::Process;
use cassiarock_peer::{Dialer, Event, Identity, Key, Listener, Tempo};
use cassiarock_wire::Role;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{Receiver, channel};
use tokio::time::{Instant, sleep, timeout};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn identity(name: &str, tempo: Tempo) -> Identity {
    Identity {
        process: Process::new(name, 1),
        role: Role::Entry,
        data_centre: "dc-1".into(),
        address: "".into(),
        tempo,
    }
}

fn dial(address: SocketAddr, tempo: Tempo) -> (Dialer, Receiver<Event>) {
    let (sender, events) = channel(16);
    let me = identity("client", tempo);
    let dialer = Dialer::new(address, None, me, Key::new("secret"), sender);
    (dialer, events)
}

async fn serve(address: SocketAddr) -> Receiver<Event> {
    let listener = Listener::bind(address).await.unwrap();
    let (sender, events) = channel(16);
    let me = identity("server", Tempo::default());
    tokio::spawn(listener.run(me, Key::new("secret"), sender));
    events
}

/// An address that leaves the opening of connections unanswered, as a VM without power does:
/// the queue of its listener is full.
async fn silent() -> (SocketAddr, TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(opened) = timeout(ms(100), TcpStream::connect(address)).await {
        queued.push(opened.unwrap());
    }
    (address, listener, queued)
}

/// An address at which nothing listens.
async fn closed() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

// A data centre had lost its power. Agents were back before the entries, and dialled them
// while they were still down: those dials were left unanswered, and each agent waited half a
// second for them. The entries were back in the meantime and refused callers for want of agents.
#[tokio::test]
async fn a_peer_that_left_a_dial_unanswered_is_found_as_soon_as_it_is_back() {
    let (address, listener, queued) = silent().await;
    let tempo = Tempo {
        connect: ms(50),
        ..Tempo::default()
    };
    let (_dialer, mut events) = dial(address, tempo);
    sleep(ms(120)).await;
    drop((listener, queued));
    let _server = serve(address).await;
    let up = timeout(ms(400), events.recv()).await;
    assert!(matches!(up, Ok(Some(Event::Up(_)))), "{up:?}");
}

// An entry was restarted and announced itself. Its agents read that within milliseconds, and
// yet sat out the pause that they had begun when it ended.
#[tokio::test]
async fn a_peer_that_is_known_to_be_back_is_dialled_without_a_pause() {
    let address = closed().await;
    let tempo = Tempo {
        pause: Duration::from_secs(20),
        rest: Duration::from_secs(20),
        ..Tempo::default()
    };
    let (dialer, mut events) = dial(address, tempo);
    // The pauses double: the next one is longer than this test.
    sleep(ms(800)).await;
    let _server = serve(address).await;
    dialer.nudge();
    let up = timeout(ms(300), events.recv()).await;
    assert!(matches!(up, Ok(Some(Event::Up(_)))), "{up:?}");
}

// The same while a dial is left unanswered: that one went to the VM before the entry was there.
#[tokio::test]
async fn a_peer_that_is_known_to_be_back_is_dialled_anew_while_a_dial_is_unanswered() {
    let (address, listener, queued) = silent().await;
    let long = Duration::from_secs(20);
    let tempo = Tempo {
        connect: long,
        handshake: long,
        ..Tempo::default()
    };
    let (dialer, mut events) = dial(address, tempo);
    sleep(ms(120)).await;
    drop((listener, queued));
    let _server = serve(address).await;
    dialer.nudge();
    let up = timeout(ms(200), events.recv()).await;
    assert!(matches!(up, Ok(Some(Event::Up(_)))), "{up:?}");
}

#[tokio::test]
async fn a_nudge_leaves_an_open_link_alone() {
    let address = closed().await;
    let _server = serve(address).await;
    let (dialer, mut events) = dial(address, Tempo::default());
    // The link ends when nobody holds it.
    let up = events.recv().await;
    assert!(matches!(up, Some(Event::Up(_))), "{up:?}");
    dialer.nudge();
    let next = timeout(ms(300), events.recv()).await;
    assert!(next.is_err(), "{next:?}");
}

// An agent gave up a link. Its process was never told that the link was gone, and went on
// sending heartbeats into nothing.
#[tokio::test]
async fn a_dialer_that_is_dropped_tells_the_end_of_its_link() {
    let address = closed().await;
    let _server = serve(address).await;
    let (dialer, mut events) = dial(address, Tempo::default());
    let up = events.recv().await;
    assert!(matches!(up, Some(Event::Up(_))), "{up:?}");
    drop(dialer);
    let next = timeout(ms(300), events.recv()).await;
    assert!(matches!(next, Ok(Some(Event::Down(..)))), "{next:?}");
}

// Entries that had been replaced long ago were dialled for ever at the same pace, by all agents.
#[tokio::test]
async fn a_peer_that_is_away_for_long_is_dialled_seldom() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let tempo = Tempo {
        pause: ms(20),
        patience: ms(300),
        rest: Duration::from_secs(60),
        ..Tempo::default()
    };
    let (_dialer, _events) = dial(listener.local_addr().unwrap(), tempo);
    let began = Instant::now();
    let (mut early, mut late) = (0, 0);
    while let Ok(Ok(_)) =
        timeout(ms(2_500).saturating_sub(began.elapsed()), listener.accept()).await
    {
        if began.elapsed() < ms(300) {
            early += 1;
        } else if began.elapsed() > ms(1_000) {
            late += 1;
        }
    }
    assert!(early >= 5, "{early} dials in the first 300 ms");
    assert!(late <= 3, "{late} dials after a second");
}
