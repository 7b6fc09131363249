//! The socket of a connection.

use super::input::Input;
use socket2::SockRef;
use std::io::{self, Read};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket whose reads see what has arrived even if the runtime has not been told of it
/// yet, so that a connection is not taken for idle while a request waits in its socket.
pub(super) struct Stream {
    socket: TcpStream,
    input: Arc<Input>,
}

impl Stream {
    pub(super) const fn new(socket: TcpStream, input: Arc<Input>) -> Self {
        Self { socket, input }
    }

    fn poll_socket(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match Pin::new(&mut self.socket).poll_read(context, buffer) {
            Poll::Pending => self.poll_kernel(context, buffer),
            ready => ready,
        }
    }

    fn poll_kernel(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let budget = ready!(tokio::task::coop::poll_proceed(context));
        match (&*SockRef::from(&self.socket)).read(buffer.initialize_unfilled()) {
            Ok(length) => {
                budget.made_progress();
                buffer.advance(length);
                Poll::Ready(Ok(()))
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.input.read(None);
                Poll::Pending
            }
            Err(error) => Poll::Ready(Err(error)),
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        match self.poll_socket(context, buffer) {
            Poll::Ready(Ok(())) => {
                let length = buffer.filled().len() - before;
                if length > 0 {
                    self.input.read(Some(length));
                }
                Poll::Ready(Ok(()))
            }
            Poll::Pending if self.input.is_expired() => {
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
            other => other,
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
