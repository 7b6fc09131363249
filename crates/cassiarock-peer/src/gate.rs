//! A connection that reads little until its peer has proved the key.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The bytes that a peer may send before it has proved the key: the websocket's request and a hello.
const MAX_UNPROVEN_BYTES: usize = 16 << 10;

/// A connection whose reads fail once the peer has sent too much without a proof. Websocket messages
/// are kept in memory until they are complete, and those of proven peers may be large.
#[derive(Debug)]
pub(crate) struct Gate {
    stream: TcpStream,
    /// The bytes that may still be read; `None` if the gate is open.
    left: Option<usize>,
}

impl Gate {
    /// A gate that opens once the peer has proved the key.
    pub(crate) const fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            left: Some(MAX_UNPROVEN_BYTES),
        }
    }

    /// Lifts the limit.
    pub(crate) const fn open(&mut self) {
        self.left = None;
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        if let Some(left) = &mut self.left {
            *left = left.checked_sub(read).ok_or_else(|| {
                io::Error::other(format!(
                    "over {MAX_UNPROVEN_BYTES} bytes before the proof of the key"
                ))
            })?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
