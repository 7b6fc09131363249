//! Redialling: how soon a returning peer is found, and how often an unreachable one is dialled.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cassiarock_id::Process;
use cassiarock_peer::{Dialer, Event, Identity, Key, LinkTiming, Listener};
use cassiarock_wire::Role;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{Receiver, channel};
use tokio::time::{Instant, sleep, timeout};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn identity(name: &str, timing: LinkTiming) -> Identity {
    Identity {
        process: Process::new(name, 1),
        role: Role::Entry,
        data_centre: "dc-1".into(),
        address: "".into(),
        timing,
    }
}

fn dial(address: SocketAddr, timing: LinkTiming) -> (Dialer, Receiver<Event>) {
    let (sender, events) = channel(16);
    let me = identity("client", timing);
    let dialer = Dialer::new(address, None, me, Key::new("secret"), sender);
    (dialer, events)
}

async fn serve(address: SocketAddr) -> Receiver<Event> {
    let listener = Listener::bind(address).await.unwrap();
    let (sender, events) = channel(16);
    let me = identity("server", LinkTiming::default());
    tokio::spawn(listener.run(me, Key::new("secret"), sender));
    events
}

/// An address that leaves connection attempts unanswered, as a VM without power does: the
/// accept queue of its listener is full.
async fn unresponsive_address() -> (SocketAddr, TcpListener, Vec<TcpStream>) {
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
async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

// After a power loss of a data centre, agents that were back before the entries dialled them in
// vain and waited half a second for each unanswered attempt. The entries were back meanwhile and
// refused callers because no agent was linked.
#[tokio::test]
async fn a_returning_peer_is_linked_soon_after_an_unanswered_dial() {
    let (address, listener, queued) = unresponsive_address().await;
    let timing = LinkTiming {
        connect_resend: ms(50),
        ..LinkTiming::default()
    };
    let (_dialer, mut events) = dial(address, timing);
    sleep(ms(120)).await;
    drop((listener, queued));
    let _server = serve(address).await;
    let up = timeout(ms(400), events.recv()).await;
    assert!(matches!(up, Ok(Some(Event::Up(_)))), "{up:?}");
}

// A restarted entry announces itself. Its agents read that within milliseconds, but used to wait
// for the end of the pause that they had begun when the entry stopped.
#[tokio::test]
async fn dial_now_skips_the_pause() {
    let address = closed_address().await;
    let timing = LinkTiming {
        max_redial_pause: Duration::from_secs(20),
        max_unreachable_pause: Duration::from_secs(20),
        ..LinkTiming::default()
    };
    let (dialer, mut events) = dial(address, timing);
    // The pauses double: the next one is longer than this test.
    sleep(ms(800)).await;
    let _server = serve(address).await;
    dialer.dial_now();
    let up = timeout(ms(300), events.recv()).await;
    assert!(matches!(up, Ok(Some(Event::Up(_)))), "{up:?}");
}

// The same while an attempt is unanswered that was sent before the entry listened.
#[tokio::test]
async fn dial_now_replaces_an_unanswered_dial() {
    let (address, listener, queued) = unresponsive_address().await;
    let long = Duration::from_secs(20);
    let timing = LinkTiming {
        connect_resend: long,
        handshake_timeout: long,
        ..LinkTiming::default()
    };
    let (dialer, mut events) = dial(address, timing);
    sleep(ms(120)).await;
    drop((listener, queued));
    let _server = serve(address).await;
    dialer.dial_now();
    let up = timeout(ms(200), events.recv()).await;
    assert!(matches!(up, Ok(Some(Event::Up(_)))), "{up:?}");
}

#[tokio::test]
async fn dial_now_keeps_an_open_link() {
    let address = closed_address().await;
    let _server = serve(address).await;
    let (dialer, mut events) = dial(address, LinkTiming::default());
    // Holds the link, which ends when its last sender is dropped.
    let up = events.recv().await;
    assert!(matches!(up, Some(Event::Up(_))), "{up:?}");
    dialer.dial_now();
    let next = timeout(ms(300), events.recv()).await;
    assert!(next.is_err(), "{next:?}");
}

// An agent that dropped a dialer received no event for the end of the link, and went on sending
// heartbeats on it.
#[tokio::test]
async fn dropping_a_dialer_sends_the_end_of_its_link() {
    let address = closed_address().await;
    let _server = serve(address).await;
    let (dialer, mut events) = dial(address, LinkTiming::default());
    let up = events.recv().await;
    assert!(matches!(up, Some(Event::Up(_))), "{up:?}");
    drop(dialer);
    let next = timeout(ms(300), events.recv()).await;
    assert!(matches!(next, Ok(Some(Event::Down(..)))), "{next:?}");
}

// All agents went on dialling entries that had been replaced long ago, at an unchanged rate.
#[tokio::test]
async fn a_peer_that_is_long_unreachable_is_dialled_less_often() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let timing = LinkTiming {
        max_redial_pause: ms(20),
        unreachable_limit: ms(300),
        max_unreachable_pause: Duration::from_secs(60),
        ..LinkTiming::default()
    };
    let (_dialer, _events) = dial(listener.local_addr().unwrap(), timing);
    let started_at = Instant::now();
    let (mut early, mut late) = (0, 0);
    while let Ok(Ok(_)) = timeout(
        ms(2_500).saturating_sub(started_at.elapsed()),
        listener.accept(),
    )
    .await
    {
        if started_at.elapsed() < ms(300) {
            early += 1;
        } else if started_at.elapsed() > ms(1_000) {
            late += 1;
        }
    }
    assert!(early >= 5, "{early} dials in the first 300 ms");
    assert!(late <= 3, "{late} dials after a second");
}
