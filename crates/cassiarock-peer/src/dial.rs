//! Keeps one link to one peer open, dialling again after each end.

use crate::{Error, Event, Identity, Key, handshake, link};
use cassiarock_id::Process;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// The pause before the first new try: a restarted peer listens again within it.
const SHORTEST: Duration = Duration::from_millis(50);

/// Keeps a link to one process open; dropping it ends the link.
#[derive(Debug)]
pub struct Dialer {
    task: JoinHandle<()>,
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
        let task = tokio::spawn(async move {
            let mut pause = SHORTEST;
            while !events.is_closed() {
                let began = tokio::time::Instant::now();
                let error = attempt(address, wanted.as_ref(), &me, &key, &events).await;
                log::debug!(peer:% = address; "link ended: {error}");
                pause = next_pause(pause, began.elapsed(), me.tempo.pause);
                tokio::time::sleep(jittered(pause)).await;
            }
        });
        Self { task }
    }
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn next_pause(pause: Duration, lasted: Duration, longest: Duration) -> Duration {
    if lasted > longest {
        return SHORTEST;
    }
    (pause * 2).min(longest)
}

/// Half to whole of `pause`, so that many processes do not dial a returning one at once.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}

async fn attempt(
    peer: SocketAddr,
    wanted: Option<&Process>,
    me: &Identity,
    key: &Key,
    events: &mpsc::Sender<Event>,
) -> Error {
    let opened = timeout(me.tempo.handshake, open(peer, wanted, me, key)).await;
    match opened {
        Err(_) => Error::Silent { peer },
        Ok(Err(error)) => error,
        Ok(Ok((socket, hello))) => {
            link::run(socket, peer, hello, me.tempo.silence, events.clone()).await
        }
    }
}

async fn open(
    peer: SocketAddr,
    wanted: Option<&Process>,
    me: &Identity,
    key: &Key,
) -> Result<(handshake::Socket, cassiarock_wire::Hello), Error> {
    let failed = |source| Error::Dial { peer, source };
    let stream = TcpStream::connect(peer).await.map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    let (mut socket, _) = tokio_tungstenite::client_async(format!("ws://{peer}/"), stream)
        .await
        .map_err(|e| Error::Socket {
            step: "open a websocket",
            peer,
            reason: e.to_string(),
        })?;
    let hello = handshake::dial(&mut socket, peer, me, key).await?;
    expect(peer, wanted, &hello)?;
    Ok((socket, hello))
}

fn expect(
    peer: SocketAddr,
    wanted: Option<&Process>,
    hello: &cassiarock_wire::Hello,
) -> Result<(), Error> {
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
