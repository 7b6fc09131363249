//! The bounds of a listener.

use std::time::Duration;

/// What the clients of a listener may take together.
///
/// ```
/// use cassiarock_server::Bound;
/// let bound = Bound::new("status").with_connections(64).with_bodies(1 << 20);
/// assert_eq!(bound.connections, 64);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Bound {
    /// Name of the listener in logs and metrics.
    pub listener: &'static str,
    /// Open connections.
    pub connections: usize,
    /// Connections beyond these that wait for their place, or are being rejected with a response. The
    /// rest are closed.
    pub waiting: usize,
    /// Bytes of a request's line and headers.
    pub headers: usize,
    /// Bytes that all request bodies keep.
    pub bodies: usize,
    /// How long a client may take to send the line and headers of a request, and how long a
    /// connection may be idle.
    pub receive: Duration,
}

impl Bound {
    /// The default bounds for the listener of this name.
    #[must_use]
    pub const fn new(listener: &'static str) -> Self {
        Self {
            listener,
            connections: 1_024,
            waiting: 64,
            headers: 16 << 10,
            bodies: 64 << 20,
            receive: Duration::from_secs(15),
        }
    }

    /// Sets the number of open connections.
    #[must_use]
    pub const fn with_connections(self, connections: usize) -> Self {
        Self {
            connections,
            ..self
        }
    }

    /// Sets the number of connections that wait or are being rejected.
    #[must_use]
    pub const fn with_waiting(self, waiting: usize) -> Self {
        Self { waiting, ..self }
    }

    /// Sets the bytes of a request's line and headers.
    #[must_use]
    pub const fn with_headers(self, headers: usize) -> Self {
        Self { headers, ..self }
    }

    /// Sets the bytes that all request bodies keep.
    #[must_use]
    pub const fn with_bodies(self, bodies: usize) -> Self {
        Self { bodies, ..self }
    }

    /// Sets how long headers may take and connections may be idle.
    #[must_use]
    pub const fn with_receive(self, receive: Duration) -> Self {
        Self { receive, ..self }
    }
}
