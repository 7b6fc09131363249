//! The timeouts that keep a task from running twice at once.
//!
//! An entry that has lost an agent starts the agent's tasks elsewhere `RECLAIM_DELAY` after it
//! last heard from it. This is safe without any agreement: orders and heartbeats of an entry echo
//! the agent's own clock as the entry last received it, and the agent acts for an entry only until
//! `CONTACT_TIMEOUT` after that echo. If the agent dies or freezes before it has stopped the tasks,
//! the upstream's own lease ends them `LEASE` after the last renewal.

use std::time::Duration;

/// How long an agent acts for an entry after the last echo of its own clock. Heartbeats go every
/// `HEARTBEAT_INTERVAL` in each direction, so that an echo is up to 250 ms old in normal
/// operation. Twice that tolerates a process that gets no processor for a quarter of a second.
pub const CONTACT_TIMEOUT: Duration = Duration::from_millis(500);

/// The lease that an agent requests from its upstream. It renews the lease with each poll, some
/// 40 ms apart, so that an agent that gets no processor for half a second loses no task.
pub const LEASE: Duration = Duration::from_millis(600);

/// The time allowed for stopping a task. A stop takes up to 50 ms at the upstream and its order
/// some milliseconds; the upstream's clock may be 2% slow, which makes 12 ms of a lease.
pub const STOP_MARGIN: Duration = Duration::from_millis(100);

/// When an entry may start tasks elsewhere, counted from the last frame of a lost agent:
/// 1.2 s. A caller whose connection broke submits again 1.3 s later at the earliest, so that the
/// tasks of an entry that died have ended by the time of the second submission.
pub const RECLAIM_DELAY: Duration = Duration::from_millis(1_200);

/// The interval between two frames on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// An agent that sent nothing for this long, i.e. missed two heartbeats, gets no new tasks.
pub const QUIET_TIMEOUT: Duration = Duration::from_millis(250);

/// A link on which nothing arrived for this long is replaced. This has to be shorter than
/// `CONTACT_TIMEOUT`, or else a connection that went silent would cost the tasks behind it.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(350);

/// The longest time that an upstream may announce, far longer than any transient task. It keeps sums
/// of times small, whatever an upstream reports.
pub const MAX_NOTICE: Duration = Duration::from_secs(24 * 3_600);

const _: () = assert!(
    CONTACT_TIMEOUT.as_millis() + LEASE.as_millis() + STOP_MARGIN.as_millis()
        <= RECLAIM_DELAY.as_millis(),
    "a lost agent's tasks must have ended before they are started elsewhere"
);
