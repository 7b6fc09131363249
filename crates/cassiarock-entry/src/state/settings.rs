//! The identity and settings of an entry, fixed while it runs.

use cassiarock_claim::view::Timing;
use cassiarock_id::{Name, Process};
use cassiarock_policy::dispatch;
use std::time::Duration;

/// How long a view is in force before older ones count as left. An entry grants itself half
/// of it, which survives one lost ping at a ping every 0.9 s. A longer lease would make jobs
/// issued around a change of members gather for longer.
pub(crate) const LEASE: Duration = Duration::from_secs(4);

/// How long after a view was settled jobs count as issued in it, beyond the clock skew.
const MARGIN: Duration = Duration::from_millis(500);

/// The identity and the settings of an entry.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) me: Process,
    pub(crate) data_centre: Name,
    pub(crate) dispatch: dispatch::Settings,
    pub(crate) seed: u64,
    /// How far the clocks of two VMs may differ.
    pub(crate) clock_skew: Duration,
    /// How long jobs are remembered.
    pub(crate) remembered: Duration,
}

impl Settings {
    pub(crate) fn timing(&self) -> Timing {
        Timing::new(LEASE, MARGIN + self.clock_skew, self.remembered)
    }
}
