//! The upstream as its reports describe it.

use crate::message::Upstream;
use crate::{Incarnation, Resources};
use cassiarock_id::Name;

/// Former lives that are remembered, so that a report that a broken network held up is not
/// taken for a new life.
const MAX_PREVIOUS_INCARNATIONS: usize = 16;

/// One life of the upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Worker {
    /// Its id.
    pub id: Name,
    /// When it started, in milliseconds since 1970, if it says so.
    pub started_at: Option<u64>,
    /// The pool that it belongs to.
    pub service: Name,
    /// All its room.
    pub capacity: Resources,
    /// Its kind, its rack and other labels.
    pub labels: Vec<Name>,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Its clock at the report, in milliseconds.
    pub clock: u64,
    /// The number of the report.
    pub sequence: u64,
    /// Whether it has ended.
    pub is_gone: bool,
    /// Whether it has not reported yet: only its answer to an order has shown that it is there,
    /// which does not tell its room.
    pub is_unreported: bool,
    /// Its former lives.
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
        }
    }

    /// Its life.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.id.clone()).with_started_at(self.started_at)
    }

    /// Whether it is there and has said what it is.
    pub(super) const fn is_present(&self) -> bool {
        !self.is_gone && !self.is_unreported
    }

    /// This life and former ones.
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

    /// A later report of the life that `known` describes.
    pub(super) fn with_history_of(self, known: Self) -> Self {
        Self {
            started_at: self.started_at.or(known.started_at),
            previous_incarnations: known.previous_incarnations,
            ..self
        }
    }
}
