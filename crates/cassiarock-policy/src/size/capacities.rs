//! Whether any upstream could ever run a task.

use super::resources::{ResourceKind, Resources};
use cassiarock_id::Process;
use std::collections::HashMap;

/// How far declared amounts may be off. A task that declares up to this multiple of the
/// largest upstream is tried, since it may well need a tenth of what it declares.
const DISTRUST: u64 = 10;

/// Whether a task fits some upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Feasibility {
    /// It fits, or may.
    Fits,
    /// No known upstream has enough of this resource: refuse the job, nothing has run.
    Impossible(ResourceKind),
    /// No upstream is known yet: wait.
    Unknown,
}

/// What the known upstreams have.
///
/// Made for jobs that can never run: in a queue they would take places until their
/// deadline, and their callers would wait for nothing.
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
    /// An upstream with `has` announced itself.
    pub fn add(&mut self, agent: Process, has: Resources) {
        self.upstreams.insert(agent, has);
        self.largest = self.largest.max(has);
    }

    /// An upstream is gone for good. One that is only out of reach stays: what it could
    /// run it can run again.
    pub fn remove(&mut self, agent: &Process) {
        self.upstreams.remove(agent);
        let all = self.upstreams.values();
        self.largest = all.fold(Resources::default(), |largest, has| largest.max(*has));
    }

    /// Judges a task by what it declares and by the peak learned for its kind.
    #[must_use]
    pub fn check(&self, declared: &Resources, learned: &Resources) -> Feasibility {
        if self.upstreams.is_empty() {
            return Feasibility::Unknown;
        }
        let impossible = learned.exceeds(&self.largest, 1);
        match impossible.or_else(|| declared.exceeds(&self.largest, DISTRUST)) {
            Some(resource) => Feasibility::Impossible(resource),
            None => Feasibility::Fits,
        }
    }
}
