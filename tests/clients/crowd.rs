//! Many connections whose requests never end.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Connections that are opened at a time.
const OPENING: usize = 64;

/// A connection that takes nothing more for this long has been closed or is no longer read.
const STALL: Duration = Duration::from_secs(2);

/// The size of a body in one piece, and of one in slices.
const BODY: usize = 262_144;

/// What each connection of a crowd sends: a head, then the same piece over and over.
#[derive(Clone, Debug)]
pub struct Script {
    head: String,
    /// Sent once after the head has been answered.
    first: Vec<u8>,
    piece: Vec<u8>,
    pieces: usize,
}

impl Script {
    /// `request` is the request line without its version.
    fn new(request: &str, header: &str, piece: Vec<u8>, pieces: usize) -> Self {
        let head = format!(
            "{request} HTTP/1.1\r\nhost: queue.example\r\ncontent-type: application/json\r\n{header}"
        );
        Self {
            head,
            first: Vec::new(),
            piece,
            pieces,
        }
    }

    /// Chunks of one byte, each in a write of its own, without the last one.
    pub fn single_bytes(request: &str) -> Self {
        Self::chunked(request, b"1\r\n \r\n".to_vec(), 3_000)
    }

    /// Chunks of one byte in writes of 500 chunks, without the last one.
    pub fn batches_of_bytes(request: &str) -> Self {
        Self::chunked(request, b"1\r\n \r\n".repeat(500), 40)
    }

    /// One chunk that is a byte short of its end.
    pub fn one_chunk(request: &str) -> Self {
        let mut piece = format!("{BODY:x}\r\n").into_bytes();
        piece.extend(vec![b' '; BODY - 1]);
        Self::chunked(request, piece, 1)
    }

    /// A body of a known length in slices, a byte short of its end.
    pub fn slices(request: &str) -> Self {
        Self::sliced(request, BODY, 1_387)
    }

    /// A body that stops after ten bytes.
    pub fn silence(request: &str) -> Self {
        let header = format!("content-length: {BODY}\r\n\r\n");
        Self::new(request, &header, vec![b' '; 10], 1)
    }

    /// Headers that go on and on, to just below the most that are allowed.
    pub fn endless_head(request: &str) -> Self {
        let line = format!("x-filler: {}\r\n", "x".repeat(1_000));
        Self::new(request, "", line.into_bytes(), 15)
    }

    /// A body of 4 MiB, a byte short of its end.
    pub fn long_slices(request: &str) -> Self {
        Self::sliced(request, 4 << 20, 60_787)
    }

    /// A whole submission whose caller waits as long as it may.
    pub fn whole(request: &str, body: &str) -> Self {
        let length = body.len();
        let header = format!("deadline-ms: 600000\r\ncontent-length: {length}\r\n\r\n");
        Self::new(request, &header, body.as_bytes().to_vec(), 1)
    }

    /// Whole requests in a row, whose answers nobody reads.
    pub fn unread(request: &str) -> Self {
        let whole = format!("{request} HTTP/1.1\r\nhost: queue.example\r\n\r\n");
        Self::new(request, "\r\n", whole.into_bytes(), 500)
    }

    /// A websocket whose first frame is larger than any that a handshake needs, and never ends.
    pub fn large_frame() -> Self {
        let header = "upgrade: websocket\r\nconnection: upgrade\r\nsec-websocket-version: 13\r\n\
            sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
        let mut script = Self::new("GET /", header, vec![b' '; 65_536], 32);
        // A masked binary frame of 15 MiB.
        script.first = [&[0x82, 0xff][..], &(15_u64 << 20).to_be_bytes(), &[0; 4]].concat();
        script
    }

    fn sliced(request: &str, length: usize, slice: usize) -> Self {
        assert_eq!((length - 1) % slice, 0, "the last byte is kept back");
        let header = format!("content-length: {length}\r\n\r\n");
        Self::new(request, &header, vec![b' '; slice], length / slice)
    }

    fn chunked(request: &str, piece: Vec<u8>, pieces: usize) -> Self {
        let header = "transfer-encoding: chunked\r\n\r\n";
        Self::new(request, header, piece, pieces)
    }
}

/// Open connections, closed when dropped. None of them reads.
pub struct Crowd {
    connections: Vec<Option<TcpStream>>,
}

impl Crowd {
    /// Opens so many connections; those that cannot be opened count as closed.
    pub async fn open(address: SocketAddr, count: usize) -> Self {
        let mut connections = Vec::with_capacity(count);
        let mut opening = JoinSet::new();
        for number in 0..count {
            opening.spawn(timeout(STALL, TcpStream::connect(address)));
            if opening.len() == OPENING || number + 1 == count {
                while let Some(opened) = opening.join_next().await {
                    let opened = opened.unwrap().ok().and_then(Result::ok);
                    opened.iter().for_each(|socket| {
                        socket.set_nodelay(true).unwrap();
                    });
                    connections.push(opened);
                }
            }
        }
        Self { connections }
    }

    /// Sends the script on all connections, a piece on each in turn.
    pub async fn send(&mut self, script: &Script) {
        self.write(script.head.as_bytes()).await;
        if !script.first.is_empty() {
            self.wait_for_answers().await;
            self.write(&script.first).await;
        }
        for _ in 0..script.pieces {
            self.write(&script.piece).await;
        }
    }

    async fn wait_for_answers(&self) {
        let sockets = self.connections.iter().flatten();
        let answers = sockets.map(|socket| timeout(STALL, socket.readable()));
        futures_util::future::join_all(answers).await;
    }

    async fn write(&mut self, bytes: &[u8]) {
        let mut writing = Vec::new();
        for connection in &mut self.connections {
            writing.push(async move {
                let Some(socket) = connection else { return };
                let written = timeout(STALL, socket.write_all(bytes)).await;
                if !matches!(written, Ok(Ok(()))) {
                    *connection = None;
                }
            });
        }
        futures_util::future::join_all(writing).await;
    }
}
