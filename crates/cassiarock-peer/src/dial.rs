//! Keeps one link to one peer open, and dials again whenever it ends.

use crate::gate::Gate;
use crate::link::Opened;
use crate::{Error, Event, Identity, Key, LinkTiming, handshake, link};
use cassiarock_id::Process;
use cassiarock_wire::Hello;
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, timeout};
use tokio_tungstenite::client_async_with_config;

/// The pause before the first retry. A restarted peer listens again within it.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// The longest random delay of a dial that the same event may trigger in many processes at once.
const MAX_DIAL_JITTER: Duration = Duration::from_millis(20);

/// Keeps a link to one process open; dropping it ends the link.
#[derive(Debug)]
pub struct Dialer {
    task: JoinHandle<()>,
    dial_now: Arc<Notify>,
}

impl Dialer {
    /// Starts dialling `address`. With `wanted`, any other process found there is rejected.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        wanted: Option<Process>,
        identity: Identity,
        key: Key,
        events: mpsc::Sender<Event>,
    ) -> Self {
        let dial_now = Arc::new(Notify::new());
        let connector = Connector {
            peer: address,
            wanted,
            identity,
            key,
            events,
            dial_now: dial_now.clone(),
        };
        let task = tokio::spawn(connector.run());
        Self { task, dial_now }
    }

    /// Dials the peer without waiting for the pause to end, since it is known to be up. An open
    /// link is kept.
    pub fn dial_now(&self) {
        self.dial_now.notify_one();
    }
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Dials one peer and runs the links to it.
struct Connector {
    peer: SocketAddr,
    wanted: Option<Process>,
    identity: Identity,
    key: Key,
    events: mpsc::Sender<Event>,
    dial_now: Arc<Notify>,
}

impl Connector {
    /// Keeps the link open until the receiver of the events is dropped.
    async fn run(self) {
        let timing = self.identity.timing;
        let mut pause = MIN_PAUSE;
        let mut unreachable_since = Instant::now();
        while !self.events.is_closed() {
            let started_at = Instant::now();
            let opened = tokio::select! {
                opened = timeout(timing.handshake_timeout, self.open()) => Some(opened),
                // The attempt in progress may have been sent before the peer listened.
                () = self.dial_now.notified() => None,
            };
            let is_notified = opened.is_none();
            match opened {
                Some(Ok(Ok(opened))) => {
                    self.run_link(opened).await;
                    unreachable_since = Instant::now();
                }
                Some(Ok(Err(error))) => log::debug!(peer:% = self.peer; "not linked: {error}"),
                Some(Err(_)) => log::debug!(peer:% = self.peer; "not linked: no answer"),
                None => {}
            }
            pause = next_pause(
                pause,
                started_at.elapsed(),
                &timing,
                unreachable_since.elapsed(),
            );
            if is_notified || self.pause(jittered(pause)).await {
                pause = MIN_PAUSE;
                let share = rand::random();
                sleep(MAX_DIAL_JITTER.mul_f64(share)).await;
            }
        }
    }

    async fn run_link(&self, opened: Opened) {
        let (peer, idle_timeout) = (self.peer, self.identity.timing.idle_timeout);
        let error = link::run(opened, idle_timeout, self.events.clone()).await;
        log::debug!(peer:% = peer; "link ended: {error}");
    }

    /// Waits for `pause`. Returns true at once if `dial_now` is called meanwhile.
    async fn pause(&self, pause: Duration) -> bool {
        tokio::select! {
            () = sleep(pause) => false,
            () = self.dial_now.notified() => true,
        }
    }

    async fn open(&self) -> Result<Opened, Error> {
        let peer = self.peer;
        let failed = |source| Error::Dial { peer, source };
        let stream = connect(peer, self.identity.timing.connect_resend)
            .await
            .map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let config = Some(handshake::config());
        let opening = client_async_with_config(format!("ws://{peer}/"), Gate::new(stream), config);
        let (mut socket, _) = opening.await.map_err(|e| Error::Socket {
            step: "open a websocket",
            peer,
            reason: e.to_string(),
        })?;
        let hello = handshake::dial(&mut socket, peer, &self.identity, &self.key).await?;
        check_process(peer, self.wanted.as_ref(), &hello)?;
        socket.get_mut().open();
        Ok(Opened {
            socket,
            address: peer,
            hello,
            is_dialled: true,
        })
    }
}

/// The pause before the next dial: the shortest one after a link or attempt that lasted longer
/// than `max_redial_pause`, otherwise twice the last one up to a bound, which is a separate one
/// for a peer that has been unreachable for longer than `unreachable_limit`.
fn next_pause(
    pause: Duration,
    elapsed: Duration,
    timing: &LinkTiming,
    unreachable: Duration,
) -> Duration {
    let longest = if unreachable > timing.unreachable_limit {
        timing.max_unreachable_pause
    } else if elapsed > timing.max_redial_pause {
        return MIN_PAUSE;
    } else {
        timing.max_redial_pause
    };
    (pause * 2).min(longest)
}

/// Half to all of `pause`, so that many processes do not dial a returning one at once.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Opens a connection. Starts a further attempt every `resend` and returns the first result of any
/// of them; the calling function bounds the total time. A packet sent to a VM without power is lost, and
/// the operating system repeats it only a second later, when the VM may long be back.
async fn connect(peer: SocketAddr, resend: Duration) -> std::io::Result<TcpStream> {
    let mut attempts = JoinSet::new();
    loop {
        attempts.spawn(TcpStream::connect(peer));
        if let Ok(Some(Ok(opened))) = timeout(resend, attempts.join_next()).await {
            return opened;
        }
    }
}

fn check_process(peer: SocketAddr, wanted: Option<&Process>, hello: &Hello) -> Result<(), Error> {
    match wanted {
        Some(wanted) if *wanted != hello.process => Err(Error::UnexpectedPeer {
            peer,
            wanted: wanted.to_string(),
            found: hello.process.to_string(),
            role: hello.role,
        }),
        _ => Ok(()),
    }
}
