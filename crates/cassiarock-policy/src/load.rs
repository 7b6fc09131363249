//! What entries and agents tell each other about load, carried on frames that travel
//! anyway wherever possible.

use serde::{Deserialize, Serialize};

/// From an entry to an agent: on every start frame, or alone as a demand frame.
///
/// ```
/// use cassiarock_policy::load::SlotDemand;
/// let ask = SlotDemand::default();
/// assert_eq!((ask.waiting, ask.returned), (0, 0));
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotDemand {
    /// How many more slots the entry wants of this upstream beyond the frame's tasks.
    /// Replaces what the entry asked for before.
    pub waiting: u16,
    /// How late the entry's most urgent waiting task is, in milliseconds; negative if it
    /// is not due yet.
    pub lateness: i32,
    /// Unused credits handed back with this frame.
    pub returned: u16,
}

/// From an agent to an entry: on every outcome and reject frame, or alone as a grant.
///
/// ```
/// use cassiarock_policy::load::LoadReport;
/// assert_eq!(LoadReport::default().credit, 0);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Slots that nobody uses or holds a credit for.
    pub open: u16,
    /// Tasks that wait in the upstream's queue.
    pub queued: u16,
    /// How many of them are this entry's.
    pub own: u16,
    /// Credits given to the entry with this frame, in addition to those it holds. Each
    /// keeps one slot free for the entry until it expires.
    pub credit: u16,
    /// How many tasks of this entry's start frames the agent has taken in on this
    /// connection, rejected ones included, modulo 2^32. Tells the entry which of its
    /// starts the other fields already count.
    pub seen: u32,
    /// Whether other entries wait for slots here: an unused credit should go back.
    pub contended: bool,
}
