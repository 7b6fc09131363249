//! The HTTP server: connections and their limits.

use crate::room::{Need, Room};
use crate::{Bound, connection};
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
use tokio::time::timeout;

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
/// How long a connection over the limit waits for another one to close.
const WAIT_TIMEOUT: Duration = Duration::from_secs(1);
/// How often connections are asked to close meanwhile.
const WAIT_STEPS: u32 = 4;
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
/// use cassiarock_server::{Bound, serve};
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
/// let router = axum::Router::new();
/// serve(listener, router, &Bound::new("status"), std::future::ready(())).await;
/// # Ok(())
/// # }
/// ```
pub async fn serve(
    listener: TcpListener,
    router: Router,
    bound: &Bound,
    shutdown: impl Future<Output = ()>,
) {
    let server = Server {
        http: http(bound),
        router,
        room: Arc::new(Room::new(bound)),
        closing: watch::Sender::new(false),
        free: Arc::new(Semaphore::new(bound.connections)),
        waiting: Arc::new(Semaphore::new(bound.waiting)),
    };
    tokio::select! {
        () = server.accept(&listener) => {}
        () = shutdown => {}
    }
    if let Err(error) = server.accept_queued(listener) {
        log::warn!(
            "{}: accepting the last connections: {error}",
            bound.listener
        );
    }
    server.closing.send_replace(true);
    server.closing.closed().await;
}

#[derive(Clone)]
struct Server {
    http: http1::Builder,
    router: Router,
    room: Arc<Room>,
    /// Tells the connections to close; each holds a receiver until it has ended.
    closing: watch::Sender<bool>,
    free: Arc<Semaphore>,
    waiting: Arc<Semaphore>,
}

impl Server {
    async fn accept(&self, listener: &TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(error) => {
                    log::warn!(listener = self.room.listener; "accepting a connection: {error}");
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
                    log::warn!(listener = self.room.listener; "accepting one of the last connections: {error}");
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Serves a connection. If too many are open, the ones that have kept the listener waiting longest
    /// are asked to close, and the new one waits for its place. One that finds none is rejected with a
    /// response: left in the kernel's queue, it would look like a dead process to a load balancer.
    fn admit(&self, stream: TcpStream) {
        if let Ok(permit) = self.free.clone().try_acquire_owned() {
            tokio::spawn(self.handle(stream, permit));
            return;
        }
        let Ok(waiting) = self.waiting.clone().try_acquire_owned() else {
            self.count_refused();
            return;
        };
        // Counts as a connection at the shutdown.
        let open = self.closing.subscribe();
        let server = self.clone();
        tokio::spawn(async move {
            if let Some(permit) = server.wait_for_place().await {
                let served = server.handle(stream, permit);
                drop((waiting, open));
                return served.await;
            }
            server.count_refused();
            let _ = timeout(REJECT_TIMEOUT, send_rejection(stream)).await;
            drop((waiting, open));
        });
    }

    /// Waits until another connection has closed, `None` if none does in time.
    async fn wait_for_place(&self) -> Option<OwnedSemaphorePermit> {
        for _ in 0..WAIT_STEPS {
            self.room.make(Need::Connections);
            let free = self.free.clone().acquire_owned();
            if let Ok(Ok(permit)) = timeout(WAIT_TIMEOUT / WAIT_STEPS, free).await {
                return Some(permit);
            }
        }
        None
    }

    /// Serves a connection until it ends.
    fn handle(
        &self,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
    ) -> impl Future<Output = ()> + Send + use<> {
        let _ = stream.set_nodelay(true);
        let (http, router) = (self.http.clone(), self.router.clone());
        let listener = self.room.listener;
        let (place, closing) = (self.room.seat(), self.closing.subscribe());
        async move {
            let connection = connection::serve(http, router, stream, place, closing);
            if let Err(error) = connection.await {
                log::debug!(listener = listener; "serving a connection: {error}");
            }
            drop(permit);
        }
    }

    fn count_refused(&self) {
        let listener = self.room.listener;
        metrics::counter!("cassiarock_connections_refused_total", "listener" => listener)
            .increment(1);
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
fn http(bound: &Bound) -> http1::Builder {
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(bound.receive)
        .max_buf_size(bound.headers.max(MIN_HEADER_BUFFER));
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
