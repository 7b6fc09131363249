//! Why a caller was refused, as the log tells it.
//!
//! Under load, some callers are refused while there is room for their jobs: it is kept for urgent
//! work, or was freed a moment ago. Operators see from the cause how many, and whether too much room
//! is kept.

use crate::Decision;
use crate::scheduler::Scheduler;
use crate::scheduler::active_job::ActiveJob;
use std::time::Duration;

/// No open upstream can run the job.
pub(in crate::scheduler) const NO_UPSTREAM: &str = "no upstream";

/// Other jobs went before it.
pub(in crate::scheduler) const QUEUE: &str = "queue";

/// The entry leaves.
pub(in crate::scheduler) const SHUTDOWN: &str = "shutdown";

/// The room that it needed is kept for more urgent work.
const KEPT: &str = "kept for urgent work";

impl Scheduler {
    /// Adds the cause of a refusal to its decision: room kept for urgent work if that held the job
    /// back, else `cause`, and whether there was room for all of its tasks.
    pub(in crate::scheduler) fn with_cause(
        &self,
        decision: Decision,
        cause: &'static str,
        active: &ActiveJob,
        now: Duration,
    ) -> Decision {
        let has_room = self.fits_whole(active, now);
        let kept = self.kept_room(active, now);
        let is_held_back = has_room && cause == QUEUE && !kept.allows(active);
        let decision = decision
            .with("cause", if is_held_back { KEPT } else { cause })
            .with("has_room", has_room);
        if is_held_back {
            kept.describe(decision)
        } else {
            decision
        }
    }
}
