//! Receives request bodies.

use crate::memory::Held;
use crate::room::Room;
use crate::seat::Seat;
use crate::{Bound, Content, Error, Reserve};
use axum::body::{Body, Bytes, HttpBody};
use axum::extract::FromRequestParts;
use axum::http::request::Parts;
use http_body_util::BodyExt;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// The first allocation for a body, in bytes.
const FIRST_ALLOCATION: usize = 1 << 10;

/// What one body may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Terms {
    /// The bytes of the body.
    pub bytes: usize,
    /// The time between two pieces of it.
    pub idle: Duration,
    /// The time for the whole body.
    pub whole: Duration,
}

/// Receives the body of a request within the bounds of its listener. Handlers take it as an extractor.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// use axum::body::Body;
/// use axum::routing::post;
/// use cassiarock_server::{Bound, Intake, Terms, serve};
/// use std::time::Duration;
/// let terms = Terms { bytes: 1024, idle: Duration::from_secs(1), whole: Duration::from_secs(5) };
/// let echo = move |intake: Intake, body: Body| async move {
///     intake.receive(body, &terms).await.map_or_else(|error| error.to_string(), |content| {
///         String::from_utf8_lossy(&content).into_owned()
///     })
/// };
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
/// let url = format!("http://{}/", listener.local_addr()?);
/// let router = axum::Router::new().route("/", post(echo));
/// tokio::spawn(async move {
///     serve(listener, router, &Bound::new("echo"), std::future::pending()).await;
/// });
/// let answer = reqwest::Client::new().post(url).body("free").send().await?;
/// assert_eq!(answer.text().await?, "free");
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Intake {
    room: Arc<Room>,
    seat: Arc<Seat>,
}

impl Intake {
    pub(crate) const fn new(room: Arc<Room>, seat: Arc<Seat>) -> Self {
        Self { room, seat }
    }

    /// Receives `body` whole.
    ///
    /// # Errors
    /// If the body breaks the terms, there is no memory for it, or the connection breaks.
    pub async fn receive(&self, body: Body, terms: &Terms) -> Result<Content, Error> {
        let received = timeout(terms.whole, self.collect(body, terms)).await;
        let received = received.unwrap_or(Err(Error::Slow { limit: terms.whole }));
        if let Err(error) = &received {
            self.seat.hold(0);
            self.count_refused(error);
        }
        received
    }

    /// Frees `content` and reserves `bytes` for what is made of it, such as a decoded job.
    ///
    /// # Errors
    /// [`Error::Full`] if there is not enough memory.
    pub async fn reserve(&self, content: Content, bytes: usize) -> Result<Reserve, Error> {
        let mut held = content.into_held();
        held.shrink(bytes);
        if self.room.grow(&self.seat, &mut held, bytes).await {
            return Ok(Reserve::new(held));
        }
        let limit = self.room.memory.bytes();
        let error = Error::Full { limit };
        self.count_refused(&error);
        Err(error)
    }

    fn count_refused(&self, error: &Error) {
        let (listener, reason) = (self.room.listener, error.label());
        metrics::counter!("cassiarock_bodies_refused_total", "listener" => listener, "reason" => reason)
            .increment(1);
    }

    async fn collect(&self, mut body: Body, terms: &Terms) -> Result<Content, Error> {
        let limit = terms.bytes.min(self.room.memory.largest_body());
        let oversized = || Error::Oversized { limit };
        if body.size_hint().lower() > limit as u64 {
            return Err(oversized());
        }
        let mut held = Held::default();
        let mut bytes = Vec::new();
        while let Some(piece) = next_piece(&mut body, terms.idle).await? {
            let length = bytes.len() + piece.len();
            if length > limit {
                return Err(oversized());
            }
            if length > bytes.capacity() {
                let capacity = next_capacity(bytes.capacity(), length, limit);
                if !self.room.grow(&self.seat, &mut held, capacity).await {
                    let limit = self.room.memory.bytes();
                    return Err(Error::Full { limit });
                }
                bytes.reserve_exact(capacity - bytes.len());
            }
            // A piece shares the buffer into which the connection was read, so that keeping it would
            // keep the whole buffer.
            bytes.extend_from_slice(&piece);
        }
        Ok(Content::new(bytes, held, self.seat.clone()))
    }
}

/// The next data of `body`, `None` at its end.
async fn next_piece(body: &mut Body, limit: Duration) -> Result<Option<Bytes>, Error> {
    let deadline = Instant::now() + limit;
    loop {
        let frame = tokio::time::timeout_at(deadline, body.frame()).await;
        let Some(frame) = frame.map_err(|_| Error::Stalled { limit })? else {
            return Ok(None);
        };
        // Trailers are dropped.
        if let Ok(data) = frame.map_err(Error::Broken)?.into_data()
            && !data.is_empty()
        {
            return Ok(Some(data));
        }
    }
}

/// The capacity for `length` bytes of a body that may have up to `limit`.
fn next_capacity(capacity: usize, length: usize, limit: usize) -> usize {
    (capacity * 2).max(FIRST_ALLOCATION).min(limit).max(length)
}

impl Default for Intake {
    /// An intake with bounds of its own, for handlers that run without this crate's server.
    fn default() -> Self {
        let room = Room::new(&Bound::new("none"));
        Self::new(Arc::new(room), Arc::new(Seat::new()))
    }
}

impl<S: Sync> FromRequestParts<S> for Intake {
    type Rejection = Infallible;

    async fn from_request_parts(parts: &mut Parts, _: &S) -> Result<Self, Infallible> {
        Ok(parts.extensions.get().cloned().unwrap_or_default())
    }
}
