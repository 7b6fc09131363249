//! The HTTP server: connections and their limits.

mod connection;
mod input;
mod stream;

use crate::Limit;
use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// The smallest header buffer that hyper accepts, in bytes.
const MIN_HEADER_BUFFER: usize = 8 << 10;
/// Pause after a failed accept. The usual cause is a lack of file descriptors, so the
/// next accept fails as well; without a pause the loop would use a whole processor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How many connections are accepted at the shutdown: what the kernel's queue can hold. It
/// ends the loop if callers connect as fast as they are accepted.
const MAX_QUEUED: usize = 4_096;
/// How many of these accepts may fail before the rest of the queue is given up. An error may
/// be that of one connection, or last.
const MAX_QUEUED_ERRORS: usize = 16;
/// How many connections over the limit are answered at a time; the rest are closed.
const MAX_REJECTING: usize = 64;
/// Time limit for answering a connection over the limit.
const REJECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The response body for connections over the limit.
const REJECT_BODY: &str = r#"{"outcome":"unavailable","reason":"too many connections, not started by this submission","retry_after_s":1}"#;

/// Serves `router` until `shutdown` is ready, then takes no more connections, answers every
/// request that has arrived, and returns.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// use cassiarock_caller::{Limit, router, serve};
/// let (sender, _calls) = tokio::sync::mpsc::channel(64);
/// let limit = Limit::default();
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
/// let routes = router(limit.clone(), sender);
/// serve(listener, routes, &limit, std::future::ready(())).await;
/// # Ok(())
/// # }
/// ```
pub async fn serve(
    listener: TcpListener,
    router: Router,
    limit: &Limit,
    shutdown: impl Future<Output = ()>,
) {
    let server = Server {
        http: http(limit),
        router,
        closing: watch::Sender::new(false),
        free: Arc::new(Semaphore::new(limit.connections)),
        rejecting: Arc::new(Semaphore::new(MAX_REJECTING)),
    };
    tokio::select! {
        () = server.accept(&listener) => {}
        () = shutdown => {}
    }
    if let Err(error) = server.accept_queued(listener) {
        log::warn!("accepting the last connections of callers: {error}");
    }
    server.closing.send_replace(true);
    server.closing.closed().await;
}

struct Server {
    http: http1::Builder,
    router: Router,
    /// Tells the connections to close; each holds a receiver until it has ended.
    closing: watch::Sender<bool>,
    free: Arc<Semaphore>,
    rejecting: Arc<Semaphore>,
}

impl Server {
    async fn accept(&self, listener: &TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(error) => {
                    log::warn!("accepting a caller's connection: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Accepts the connections in the kernel's queue, which closing the listener would reset.
    /// The runtime may not have been told of them yet, so the kernel is asked directly.
    fn accept_queued(&self, listener: TcpListener) -> io::Result<()> {
        let listener = listener.into_std()?;
        let mut errors = 0;
        for _ in 0..MAX_QUEUED {
            match accept_from(&listener) {
                Ok(stream) => self.admit(stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if errors < MAX_QUEUED_ERRORS => {
                    errors += 1;
                    log::warn!("accepting one of the last connections of callers: {error}");
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Serves a connection, or rejects it if too many are open, since more would take
    /// memory and file descriptors from those in use. A rejected connection gets a
    /// response: left in the kernel's queue, it would look like a dead entry to a load
    /// balancer.
    fn admit(&self, stream: TcpStream) {
        match self.free.clone().try_acquire_owned() {
            Ok(permit) => self.handle(stream, permit),
            Err(_) => self.reject(stream),
        }
    }

    fn handle(&self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let _ = stream.set_nodelay(true);
        let (http, router) = (self.http.clone(), self.router.clone());
        let connection = connection::serve(http, router, stream, self.closing.subscribe());
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("serving a caller's connection: {error}");
            }
            drop(permit);
        });
    }

    fn reject(&self, stream: TcpStream) {
        metrics::counter!("cassiarock_caller_connections_refused_total").increment(1);
        if let Ok(permit) = self.rejecting.clone().try_acquire_owned() {
            let open = self.closing.subscribe();
            tokio::spawn(async move {
                let _ = tokio::time::timeout(REJECT_TIMEOUT, send_rejection(stream)).await;
                drop((permit, open));
            });
        }
    }
}

/// Accepts a connection without waiting, if the listener does not wait.
fn accept_from(listener: &std::net::TcpListener) -> io::Result<TcpStream> {
    let (stream, _) = listener.accept()?;
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// Builds the HTTP/1 settings. The timer closes connections that send their headers
/// slowly, which would hold a connection as slow bodies do, and idle ones.
fn http(limit: &Limit) -> http1::Builder {
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(limit.receive)
        .max_buf_size(limit.headers.max(MIN_HEADER_BUFFER));
    http
}

/// Sends the rejection. A client treats a response that arrives before its request as a
/// broken connection, so the first bytes of the request are awaited. Closing with unread
/// input would reset the connection and could discard the response, so the input is read
/// until the caller closes.
async fn send_rejection(mut stream: TcpStream) -> io::Result<()> {
    let mut rest = [0; 1024];
    if stream.read(&mut rest).await? == 0 {
        return Ok(());
    }
    let length = REJECT_BODY.len();
    let head = format!(
        "HTTP/1.1 429 Too Many Requests\r\ncontent-type: application/json\r\nretry-after: 1\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(REJECT_BODY.as_bytes()).await?;
    stream.shutdown().await?;
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
