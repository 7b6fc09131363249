//! Whether any upstream could ever run a task.

use super::resources::{ResourceKind, Resources};
use cassiarock_id::Process;
use std::collections::HashMap;

/// Tolerance for declared amounts. A task that declares up to this multiple of the largest
/// upstream is tried, since it may need a tenth of what it declares.
const DECLARED_MARGIN: u64 = 10;

/// Whether a task fits any upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Feasibility {
    /// It fits, or may fit.
    Fits,
    /// No known upstream has enough of this resource; the job is to be refused before any of it
    /// runs.
    Impossible(ResourceKind),
    /// No upstream is known yet, so the job has to wait.
    Unknown,
}

/// The resources of the known upstreams.
///
/// Detects jobs that can never run. In a queue they would take up room until their deadline
/// while their callers wait in vain.
///
/// ```
/// use cassiarock_id::Process;
/// use cassiarock_policy::size::{Capacities, Resources, ResourceKind, Feasibility};
/// let mut fit = Capacities::default();
/// fit.add(Process::new("agent-1", 1), Resources::new(32_000, 64 << 10, 0));
/// assert_eq!(fit.check(&Resources::new(500, 256, 0), &Resources::default()), Feasibility::Fits);
/// let picky = Resources::new(500, 256, 1);
/// assert_eq!(fit.check(&picky, &Resources::default()), Feasibility::Impossible(ResourceKind::Accelerator));
/// ```
#[derive(Debug, Default)]
pub struct Capacities {
    upstreams: HashMap<Process, Resources>,
    largest: Resources,
}

impl Capacities {
    /// Adds an upstream that announced the resources `has`.
    pub fn add(&mut self, agent: Process, has: Resources) {
        self.upstreams.insert(agent, has);
        self.largest = self.largest.max(has);
    }

    /// Removes an upstream that is gone permanently. Keep one that is only unreachable, since
    /// it can run the same tasks when it is back.
    pub fn remove(&mut self, agent: &Process) {
        self.upstreams.remove(agent);
        let all = self.upstreams.values();
        self.largest = all.fold(Resources::default(), |largest, has| largest.max(*has));
    }

    /// Checks the amounts that a task declares and the peak learned for its kind.
    #[must_use]
    pub fn check(&self, declared: &Resources, learned: &Resources) -> Feasibility {
        if self.upstreams.is_empty() {
            return Feasibility::Unknown;
        }
        let impossible = learned.exceeds(&self.largest, 1);
        match impossible.or_else(|| declared.exceeds(&self.largest, DECLARED_MARGIN)) {
            Some(resource) => Feasibility::Impossible(resource),
            None => Feasibility::Fits,
        }
    }
}
