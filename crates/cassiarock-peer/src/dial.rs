//! Keeps one link to one peer open, dialling again after each end.

use crate::link::Opened;
use crate::{Error, Event, Identity, Key, Tempo, handshake, link};
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

/// The pause before the first new try: a restarted peer listens again within it.
const SHORTEST: Duration = Duration::from_millis(50);

/// Over this time dials are spread that follow from the same news.
const SPREAD: Duration = Duration::from_millis(20);

/// Keeps a link to one process open; dropping it ends the link.
#[derive(Debug)]
pub struct Dialer {
    task: JoinHandle<()>,
    nudged: Arc<Notify>,
}

impl Dialer {
    /// Dials `address` and expects `wanted` there, if given.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        wanted: Option<Process>,
        me: Identity,
        key: Key,
        events: mpsc::Sender<Event>,
    ) -> Self {
        let nudged = Arc::new(Notify::new());
        let call = Call {
            peer: address,
            wanted,
            me,
            key,
            events,
            nudged: nudged.clone(),
        };
        let task = tokio::spawn(call.keep());
        Self { task, nudged }
    }

    /// The peer is known to be there: it is dialled at once, unless its link is open.
    pub fn nudge(&self) {
        self.nudged.notify_one();
    }
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Whom to dial, and as whom.
struct Call {
    peer: SocketAddr,
    wanted: Option<Process>,
    me: Identity,
    key: Key,
    events: mpsc::Sender<Event>,
    nudged: Arc<Notify>,
}

impl Call {
    /// Keeps the link open until nobody is there to hear of it.
    async fn keep(self) {
        let tempo = self.me.tempo;
        let mut pause = SHORTEST;
        let mut lost = Instant::now();
        while !self.events.is_closed() {
            let began = Instant::now();
            let opened = tokio::select! {
                opened = timeout(tempo.handshake, self.open()) => Some(opened),
                // What is under way may have been sent before the peer was there.
                () = self.nudged.notified() => None,
            };
            let is_there = opened.is_none();
            match opened {
                Some(Ok(Ok(opened))) => {
                    self.run(opened).await;
                    lost = Instant::now();
                }
                Some(Ok(Err(error))) => log::debug!(peer:% = self.peer; "not linked: {error}"),
                Some(Err(_)) => log::debug!(peer:% = self.peer; "not linked: no answer"),
                None => {}
            }
            pause = next_pause(pause, began.elapsed(), &tempo, lost.elapsed());
            if is_there || self.rest(jittered(pause)).await {
                pause = SHORTEST;
                let share = rand::random();
                sleep(SPREAD.mul_f64(share)).await;
            }
        }
    }

    async fn run(&self, opened: Opened) {
        let (peer, silence) = (self.peer, self.me.tempo.silence);
        let error = link::run(opened, silence, self.events.clone()).await;
        log::debug!(peer:% = peer; "link ended: {error}");
    }

    /// Waits for `pause`, or less if the peer is known to be there: then answers true.
    async fn rest(&self, pause: Duration) -> bool {
        tokio::select! {
            () = sleep(pause) => false,
            () = self.nudged.notified() => true,
        }
    }

    async fn open(&self) -> Result<Opened, Error> {
        let peer = self.peer;
        let failed = |source| Error::Dial { peer, source };
        let stream = connect(peer, self.me.tempo.connect).await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let config = Some(handshake::config());
        let opening = client_async_with_config(format!("ws://{peer}/"), stream, config);
        let (mut socket, _) = opening.await.map_err(|e| Error::Socket {
            step: "open a websocket",
            peer,
            reason: e.to_string(),
        })?;
        let hello = handshake::dial(&mut socket, peer, &self.me, &self.key).await?;
        expect(peer, self.wanted.as_ref(), &hello)?;
        Ok(Opened {
            socket,
            address: peer,
            hello,
            is_dialled: true,
        })
    }
}

/// A link that lasted is dialled again soon. The pauses double otherwise, up to a bound that
/// is higher for a peer that has been away for long.
fn next_pause(pause: Duration, lasted: Duration, tempo: &Tempo, away: Duration) -> Duration {
    let longest = if away > tempo.patience {
        tempo.rest
    } else if lasted > tempo.pause {
        return SHORTEST;
    } else {
        tempo.pause
    };
    (pause * 2).min(longest)
}

/// Half to whole of `pause`, so that many processes do not dial a returning one at once.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Opens a connection, trying anew each `again` while the tries before may still be answered;
/// the caller bounds them. A packet that is sent to a VM without power is lost, and the system
/// repeats it only a second later, when the VM may long be back.
async fn connect(peer: SocketAddr, again: Duration) -> std::io::Result<TcpStream> {
    let mut tries = JoinSet::new();
    loop {
        tries.spawn(TcpStream::connect(peer));
        if let Ok(Some(Ok(opened))) = timeout(again, tries.join_next()).await {
            return opened;
        }
    }
}

fn expect(peer: SocketAddr, wanted: Option<&Process>, hello: &Hello) -> Result<(), Error> {
    match wanted {
        Some(wanted) if *wanted != hello.process => Err(Error::Other {
            peer,
            wanted: wanted.to_string(),
            found: hello.process.to_string(),
            role: hello.role,
        }),
        _ => Ok(()),
    }
}
