//! Load information that entries and agents exchange, carried where possible on frames that
//! are sent anyway.

use serde::{Deserialize, Serialize};

/// An entry's demand for slots of an upstream, sent to its agent on every start frame or alone
/// as a demand frame.
///
/// ```
/// use cassiarock_policy::load::SlotDemand;
/// let ask = SlotDemand::default();
/// assert_eq!((ask.waiting, ask.returned), (0, 0));
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotDemand {
    /// How many more slots the entry wants of this upstream, beyond the frame's tasks.
    /// Replaces its earlier demand.
    pub waiting: u16,
    /// By how many milliseconds the entry's most urgent waiting task is overdue; negative if
    /// it is not due yet.
    pub lateness: i32,
    /// Unused credits returned with this frame.
    pub returned: u16,
}

/// An agent's report on its load, sent to an entry on every outcome and reject frame or alone
/// as a grant.
///
/// ```
/// use cassiarock_policy::load::LoadReport;
/// assert_eq!(LoadReport::default().credit, 0);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Slots that no task uses and no entry holds a credit for.
    pub open: u16,
    /// Tasks that wait in the upstream's queue.
    pub queued: u16,
    /// How many of the queued tasks came from this entry.
    pub own: u16,
    /// Credits granted to the entry with this frame, in addition to those it holds. Each keeps
    /// one slot free for the entry until it expires.
    pub credit: u16,
    /// How many tasks of the entry's start frames the agent has received on this connection,
    /// including rejected ones, modulo 2^32. Shows the entry which of its starts the other
    /// fields already count.
    pub seen: u32,
    /// Whether other entries wait for slots here, so that unused credits should be returned.
    pub contended: bool,
}
