//! The upstream as described by its reports.

use crate::message::Upstream;
use crate::{Incarnation, Resources};
use cassiarock_id::Name;
use std::time::Duration;

/// Number of previous incarnations that are remembered, so that a report that the network delayed
/// is not taken for a new incarnation.
const MAX_PREVIOUS_INCARNATIONS: usize = 16;

/// One incarnation of the upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Worker {
    /// The upstream's id.
    pub id: Name,
    /// The start time in milliseconds since the Unix epoch, if the upstream reports one.
    pub started_at: Option<u64>,
    /// The pool that it belongs to.
    pub service: Name,
    /// The total capacity.
    pub capacity: Resources,
    /// Kind, rack and other labels.
    pub labels: Vec<Name>,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// The least time left until everything on it terminates, at the time of the report.
    pub remaining: Option<Duration>,
    /// How much longer it stays slow after its start, at the time of the report.
    pub cold_remaining: Option<Duration>,
    /// The upstream's clock at the time of the report, in milliseconds.
    pub clock: u64,
    /// The sequence number of the report.
    pub sequence: u64,
    /// Whether it has ended.
    pub is_gone: bool,
    /// Whether it has not reported yet: it is known only from its response to a poll, which does
    /// not tell its capacity.
    pub is_unreported: bool,
    /// Whether it has deregistered, according to a message that its next report refutes.
    pub is_deregistered: bool,
    /// The previous incarnations.
    pub previous_incarnations: Vec<Incarnation>,
}

impl Worker {
    pub(super) fn upstream(&self) -> Upstream {
        Upstream {
            id: self.id.clone(),
            started_at: self.started_at,
            service: self.service.clone(),
            capacity: self.capacity,
            labels: self.labels.clone(),
            is_leaving: self.is_leaving,
            ..Upstream::default()
        }
    }

    /// The incarnation that the report is about.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.id.clone()).with_started_at(self.started_at)
    }

    /// Whether it is alive and has reported its capacity.
    pub(super) const fn is_present(&self) -> bool {
        !self.is_gone && !self.is_unreported
    }

    /// Whether it says something else than `known` of what does not change within an incarnation.
    pub(super) fn contradicts(&self, known: &Self) -> bool {
        self.service != known.service || self.labels != known.labels
    }

    /// The previous incarnations and this one, the latest ones only.
    pub(super) fn incarnations(&self) -> Vec<Incarnation> {
        let mut incarnations = self.previous_incarnations.clone();
        incarnations.push(self.incarnation());
        let forgotten = incarnations.len().saturating_sub(MAX_PREVIOUS_INCARNATIONS);
        incarnations.drain(..forgotten);
        incarnations
    }

    pub(super) fn with_previous_incarnations(
        self,
        previous_incarnations: Vec<Incarnation>,
    ) -> Self {
        Self {
            previous_incarnations,
            ..self
        }
    }

    /// Adds what `known` says of the same incarnation to a later report.
    pub(super) fn with_history_of(self, known: Self) -> Self {
        Self {
            started_at: self.started_at.or(known.started_at),
            previous_incarnations: known.previous_incarnations,
            ..self
        }
    }
}
