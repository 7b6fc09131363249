//! The times that keep a task from running twice at once.
//!
//! An entry that has lost an agent starts the agent's tasks elsewhere at `RECLAIM_DELAY` after it
//! last heard from it. That is safe without any agreement: orders and heartbeats of an entry echo
//! the agent's own clock as the entry last heard it, and the agent acts for an entry only up to
//! `CONTACT_TIMEOUT` after that echo. If the agent dies or freezes before it has stopped the tasks,
//! the upstream's own lease ends them `LEASE` after the last renewal.

use std::time::Duration;

/// How long an agent acts for an entry after the last echo of its own clock. Beats go every
/// `HEARTBEAT_INTERVAL` each way, so that an echo is up to 250 ms old in calm; twice that bears a process
/// that gets no processor for a quarter of a second.
pub const CONTACT_TIMEOUT: Duration = Duration::from_millis(500);

/// What the agent asks of the upstream at each renewal, with each look, some 40 ms apart: an
/// agent that gets no processor for half a second loses nothing.
pub const LEASE: Duration = Duration::from_millis(600);

/// A stop takes up to 50 ms at the upstream and its order some milliseconds; the upstream's
/// clock may be 2% slow, which makes 12 ms of a lease.
pub const STOP_MARGIN: Duration = Duration::from_millis(100);

/// When an entry may start tasks elsewhere, counted from the last frame of a lost agent:
/// 1.2 s. A caller whose connection broke submits again 1.3 s later at the earliest, so
/// that an entry that died leaves nothing behind that could meet the second submission.
pub const RECLAIM_DELAY: Duration = Duration::from_millis(1_200);

/// The pause between two frames on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// An agent from which nothing came for this long gets no new tasks: two beats were missed.
pub const QUIET_TIMEOUT: Duration = Duration::from_millis(250);

/// A link on which nothing came for this long is replaced. It has to be shorter than
/// `CONTACT_TIMEOUT`, else a connection that went silent would cost the tasks behind it.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(350);

const _: () = assert!(
    CONTACT_TIMEOUT.as_millis() + LEASE.as_millis() + STOP_MARGIN.as_millis()
        <= RECLAIM_DELAY.as_millis(),
    "a lost agent's tasks must have ended before they are started elsewhere"
);
