//! The socket of a connection.

use crate::read_state::ReadState;
use socket2::SockRef;
use std::io::{self, Read};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// How long a caller that is still sending may take to read the last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// A socket whose reads, once it is about to be closed, see what has arrived even if the
/// runtime has not been told of it yet. So a connection is not taken for idle while a request
/// waits in its socket.
///
/// Closing with unread input resets the connection, which can discard the last response.
/// So the shutdown of an unfinished request reads on until the caller closes.
pub(crate) struct Stream {
    socket: TcpStream,
    input: Arc<ReadState>,
    linger: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    pub(crate) const fn new(socket: TcpStream, input: Arc<ReadState>) -> Self {
        Self {
            socket,
            input,
            linger: None,
        }
    }

    /// Reads and records what has been read.
    fn poll_input(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = match Pin::new(&mut self.socket).poll_read(context, buffer) {
            // A system call for each request that is waited for would be too many.
            Poll::Pending if self.input.is_closing() => self.poll_kernel(context, buffer),
            ready => ready,
        };
        let length = buffer.filled().len() - before;
        if length > 0 {
            self.input.read(Some(length));
        }
        polled
    }

    fn poll_kernel(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let budget = ready!(tokio::task::coop::poll_proceed(context));
        let socket = SockRef::from(&self.socket);
        let mut read = (&*socket).read(buffer.initialize_unfilled());
        while matches!(&read, Err(error) if error.kind() == io::ErrorKind::Interrupted) {
            read = (&*socket).read(buffer.initialize_unfilled());
        }
        match read {
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

    /// Waits until the caller has closed, or there is nothing more of it to read.
    fn poll_end(&mut self, context: &mut Context<'_>, linger: Pin<&mut Sleep>) -> Poll<()> {
        let mut rest = [0; 4096];
        loop {
            let mut buffer = ReadBuf::new(&mut rest);
            match self.poll_input(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {}
                // An error means that the caller has reset the connection.
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending if self.input.is_whole() => return Poll::Ready(()),
                Poll::Pending => return linger.poll(context),
            }
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.poll_input(context, buffer) {
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
        let mut linger = match self.linger.take() {
            Some(linger) => linger,
            None => {
                ready!(Pin::new(&mut self.socket).poll_shutdown(context))?;
                self.input.close();
                Box::pin(tokio::time::sleep(LINGER_TIMEOUT))
            }
        };
        let ended = self.poll_end(context, linger.as_mut());
        self.linger = Some(linger);
        ended.map(Ok)
    }
}
