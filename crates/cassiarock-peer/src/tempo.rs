//! How soon a process takes a link for dead and dials again.

use std::time::Duration;

/// Times of a process's links.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tempo {
    /// A link on which nothing came for this long is closed.
    pub silence: Duration,
    /// How long the opening of a connection may be left unanswered before it is sent again.
    pub connect: Duration,
    /// How long each step of a handshake may take: a peer that opens a connection and says
    /// nothing would hold a place for ever.
    pub handshake: Duration,
    /// The longest pause before a peer is dialled again.
    pub pause: Duration,
    /// How long a peer may be away before it is dialled seldom.
    pub patience: Duration,
    /// The longest pause before a peer is dialled again that has been away for longer.
    pub rest: Duration,
}

impl Default for Tempo {
    /// Three heartbeats of the actors, which send at least one a second: the peer is paused,
    /// dead or cut off, or something between the two ends has lost track of the connection.
    /// A peer that comes back is found within two pauses, and thousands of dead ones cost
    /// little.
    ///
    /// ```
    /// use cassiarock_peer::Tempo;
    /// use std::time::Duration;
    /// let tempo = Tempo { silence: Duration::from_millis(350), ..Tempo::default() };
    /// assert_eq!(tempo.handshake, Duration::from_secs(2));
    /// ```
    fn default() -> Self {
        Self {
            silence: Duration::from_secs(3),
            connect: Duration::from_millis(500),
            handshake: Duration::from_secs(2),
            pause: Duration::from_secs(1),
            patience: Duration::from_secs(60),
            rest: Duration::from_secs(1),
        }
    }
}
