//! An open link: frames are sent through a bounded queue and received as events.

use crate::Error;
use crate::handshake::Socket;
use cassiarock_wire::{Frame, Hello, decode, encode};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;

/// The capacity of the send queue, in frames. A peer that is this far behind is not reading:
/// dropping the link bounds the memory, and the work on it is settled over the next one.
const SEND_QUEUE_FRAMES: usize = 16_384;

/// The most frames written before the socket is flushed: enough to fill a TCP segment, few
/// enough not to delay the first of them.
const MAX_BATCH_FRAMES: usize = 64;

static NEXT_SERIAL: AtomicU64 = AtomicU64::new(1);

/// An event of a link.
#[derive(Debug)]
pub enum Event {
    /// A link opened: the peer has proved the key, and frames can be sent.
    Up(Link),
    /// A frame was received.
    Frame(Arc<Hello>, Frame),
    /// The link with this serial number has ended.
    Down(Arc<Hello>, u64),
}

/// The sending end of a link.
#[derive(Clone, Debug)]
pub struct Link {
    /// The hello of the peer.
    pub peer: Arc<Hello>,
    /// Distinguishes this link from others with the same peer.
    pub serial: u64,
    /// The address that this process dialled; absent for an accepted link.
    pub dialled: Option<SocketAddr>,
    frames: mpsc::Sender<Frame>,
}

impl Link {
    /// Queues a frame. Returns false if the link has ended or its queue is full because the
    /// peer does not read.
    #[must_use]
    pub fn send(&self, frame: Frame) -> bool {
        self.frames.try_send(frame).is_ok()
    }
}

/// An open connection whose peer has proved the key.
pub(crate) struct Opened {
    pub(crate) socket: Socket,
    pub(crate) address: SocketAddr,
    pub(crate) hello: Hello,
    pub(crate) is_dialled: bool,
}

/// Runs an open link until it ends, and sends `Event::Down` then.
pub(crate) async fn run(
    opened: Opened,
    idle_timeout: Duration,
    events: mpsc::Sender<Event>,
) -> Error {
    let Opened {
        socket,
        address,
        hello,
        is_dialled,
    } = opened;
    let peer = Arc::new(hello);
    let serial = NEXT_SERIAL.fetch_add(1, Ordering::Relaxed);
    let (frames, queue) = mpsc::channel(SEND_QUEUE_FRAMES);
    let link = Link {
        peer: Arc::clone(&peer),
        serial,
        dialled: is_dialled.then_some(address),
        frames,
    };
    if events.send(Event::Up(link)).await.is_err() {
        return Error::Closed { peer: address };
    }
    let guard = DownGuard {
        peer: Arc::clone(&peer),
        serial,
        events: events.clone(),
    };
    let (sink, stream) = socket.split();
    let error = tokio::select! {
        error = write(sink, queue, address, idle_timeout) => error,
        error = read(stream, &peer, &events, address, idle_timeout) => error,
    };
    drop(guard);
    error
}

/// Sends `Event::Down` when dropped, so that it is also sent for a link whose dialer is dropped.
/// Otherwise the process would go on sending on a closed link.
struct DownGuard {
    peer: Arc<Hello>,
    serial: u64,
    events: mpsc::Sender<Event>,
}

impl Drop for DownGuard {
    fn drop(&mut self) {
        let event = Event::Down(Arc::clone(&self.peer), self.serial);
        let Err(TrySendError::Full(event)) = self.events.try_send(event) else {
            return;
        };
        let events = self.events.clone();
        // There is no runtime only while the process ends.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move { events.send(event).await });
        }
    }
}

async fn write(
    mut sink: SplitSink<Socket, Message>,
    mut queue: mpsc::Receiver<Frame>,
    peer: SocketAddr,
    idle_timeout: Duration,
) -> Error {
    let mut batch = Vec::with_capacity(MAX_BATCH_FRAMES);
    loop {
        if queue.recv_many(&mut batch, MAX_BATCH_FRAMES).await == 0 {
            return Error::Closed { peer };
        }
        let sent = timeout(idle_timeout, write_batch(&mut sink, &mut batch)).await;
        match sent {
            Ok(Ok(())) => {}
            Ok(Err(reason)) => return socket_error("write", peer, reason),
            Err(_) => return Error::TimedOut { peer },
        }
    }
}

async fn write_batch(
    sink: &mut SplitSink<Socket, Message>,
    batch: &mut Vec<Frame>,
) -> Result<(), String> {
    for frame in batch.drain(..) {
        let bytes = encode(&frame).map_err(|e| e.to_string())?;
        let kind = frame.kind();
        metrics::counter!("cassiarock_peer_sent_frames_total", "kind" => kind).increment(1);
        metrics::counter!("cassiarock_peer_sent_bytes_total", "kind" => kind)
            .increment(bytes.len() as u64);
        sink.feed(Message::binary(bytes))
            .await
            .map_err(|e| e.to_string())?;
    }
    sink.flush().await.map_err(|e| e.to_string())
}

async fn read(
    mut stream: SplitStream<Socket>,
    peer: &Arc<Hello>,
    events: &mpsc::Sender<Event>,
    address: SocketAddr,
    idle_timeout: Duration,
) -> Error {
    loop {
        let message = match timeout(idle_timeout, stream.next()).await {
            Err(_) => return Error::TimedOut { peer: address },
            Ok(None | Some(Ok(Message::Close(_)))) => return Error::Closed { peer: address },
            Ok(Some(Err(e))) => return socket_error("read", address, e.to_string()),
            Ok(Some(Ok(message))) => message,
        };
        let frame = match decode(&message.into_data()) {
            Ok(frame) => frame,
            Err(e) => return socket_error("read", address, e.to_string()),
        };
        let event = Event::Frame(Arc::clone(peer), frame);
        if events.send(event).await.is_err() {
            return Error::Closed { peer: address };
        }
    }
}

const fn socket_error(step: &'static str, peer: SocketAddr, reason: String) -> Error {
    Error::Socket { step, peer, reason }
}
