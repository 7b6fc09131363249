//! What the stand-in can be told to do wrong.

use std::time::Duration;

/// The current faults; all off by default.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fault {
    /// Every call is answered with status 503 and has no effect.
    pub down: bool,
    /// Every call is answered with status 429 and has no effect.
    pub busy: bool,
    /// Calls for this topic are answered with status 503 and have no effect.
    pub lacks: Option<&'static str>,
    /// Every call hangs without an answer and has no effect.
    pub silent: bool,
    /// Every call takes this much longer, an append before it takes effect.
    pub slow: Duration,
    /// How many of the next appends take effect while their answer never comes.
    pub lost_answers: u32,
    /// How many of the next appends get no answer and take effect this much later, if their
    /// condition still holds then.
    pub late_appends: u32,
    /// How much later.
    pub late: Duration,
}

impl Fault {
    /// The status of a call that is turned away.
    pub(super) fn refusal(&self, topic: &str) -> Option<u16> {
        if self.down || self.lacks == Some(topic) {
            Some(503)
        } else if self.busy {
            Some(429)
        } else {
            None
        }
    }
}
