//! What an upstream can be told to do wrong.

use std::time::Duration;

/// The current faults; all off by default.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fault {
    /// Everything that it starts fails at once, with good reports.
    pub fails: bool,
    /// What it runs stands still, with good reports.
    pub hangs: bool,
    /// It answers nothing.
    pub is_mute: bool,
    /// It says that it is leaving.
    pub is_leaving: bool,
    /// The time left until its end that a leaving upstream reports.
    pub notice: Option<Duration>,
    /// For how long it reports to be slow.
    pub cold: Duration,
    /// So many of the next starts are left unanswered and carried out `late` later.
    pub unanswered: u32,
    /// How much later.
    pub late: Duration,
    /// So much of its room is away, in thousandths of a core.
    pub shrunk: u64,
    /// Its answers to polls never end.
    pub is_endless: bool,
    /// Tasks run this many times longer; 0 counts as 1.
    pub slow: u32,
}
