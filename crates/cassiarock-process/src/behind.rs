//! Detects that this process lags behind a peer's state of the log for too long.

use std::time::Duration;

/// How long to wait for the log to deliver what a peer has already. A change has to
/// be in force everywhere within 17 s; the log usually delivers within some milliseconds,
/// and a peer's complete state is far larger than a record.
const MAX_LAG: Duration = Duration::from_secs(2);

/// Decides when to request a peer's state. Without it, a process that is cut off from the log
/// would apply outdated rules until it is connected again.
///
/// ```
/// use cassiarock_process::Behind;
/// use std::time::Duration;
/// let mut behind = Behind::default();
/// assert!(!behind.asks(5, 9, Duration::ZERO));
/// assert!(behind.asks(5, 9, Duration::from_secs(2)));
/// assert!(!behind.asks(9, 9, Duration::from_secs(3)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Behind {
    /// This process's offset that lagged behind, and since when.
    since: Option<(u64, Duration)>,
}

impl Behind {
    /// Whether to request the state of a peer that has applied the log up to `theirs`, while this
    /// process has applied it up to `own`.
    pub fn asks(&mut self, own: u64, theirs: u64, now: Duration) -> bool {
        if theirs <= own {
            return false;
        }
        match self.since {
            Some((behind, since)) if behind == own => {
                let asks = now.saturating_sub(since) >= MAX_LAG;
                if asks {
                    self.since = Some((own, now));
                }
                asks
            }
            _ => {
                self.since = Some((own, now));
                false
            }
        }
    }
}
