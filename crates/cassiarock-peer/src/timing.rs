//! The timeouts and redial pauses of links.

use std::time::Duration;

/// The timeouts and redial pauses of a process's links.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkTiming {
    /// A link on which nothing was received for this long is closed.
    pub idle_timeout: Duration,
    /// How long a connection attempt may stay unanswered before another one is started beside it.
    pub connect_resend: Duration,
    /// The time limit of each step of a handshake. Without it, a peer that connects and sends
    /// nothing would hold the connection for ever.
    pub handshake_timeout: Duration,
    /// The longest pause before a peer is dialled again.
    pub max_redial_pause: Duration,
    /// How long a peer may be unreachable before it is dialled less often.
    pub unreachable_limit: Duration,
    /// The longest pause before a peer is dialled again that has been unreachable for longer
    /// than `unreachable_limit`.
    pub max_unreachable_pause: Duration,
}

impl Default for LinkTiming {
    /// The idle timeout is three heartbeats of the actors, which send at least one a second: a
    /// peer that misses them is paused, dead or cut off, or a device on the path has dropped the
    /// connection. A returning peer is found within two pauses, and thousands of dead ones
    /// cost little.
    ///
    /// ```
    /// use cassiarock_peer::LinkTiming;
    /// use std::time::Duration;
    /// let timing = LinkTiming { idle_timeout: Duration::from_millis(350), ..LinkTiming::default() };
    /// assert_eq!(timing.handshake_timeout, Duration::from_secs(2));
    /// ```
    fn default() -> Self {
        Self {
            idle_timeout: Duration::from_secs(3),
            connect_resend: Duration::from_millis(500),
            handshake_timeout: Duration::from_secs(2),
            max_redial_pause: Duration::from_secs(1),
            unreachable_limit: Duration::from_secs(60),
            max_unreachable_pause: Duration::from_secs(1),
        }
    }
}
