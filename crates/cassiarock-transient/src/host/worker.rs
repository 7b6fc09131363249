//! The upstream as its reports describe it.

use crate::Demand;
use crate::message::Upstream;
use cassiarock_id::Name;

/// Former lives that are remembered, so that a report that a broken network held up is not
/// taken for a new life.
const LIVES: usize = 16;

/// One life of the upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Worker {
    /// Its id; each life has its own.
    pub id: Name,
    /// The pool that it belongs to.
    pub service: Name,
    /// All its room.
    pub capacity: Demand,
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
    /// The ids of its former lives.
    pub was: Vec<Name>,
}

impl Worker {
    pub(super) fn upstream(&self) -> Upstream {
        Upstream {
            id: self.id.clone(),
            service: self.service.clone(),
            capacity: self.capacity,
            labels: self.labels.clone(),
            is_leaving: self.is_leaving,
        }
    }

    /// This life's id and those of former ones.
    pub(super) fn lives(&self) -> Vec<Name> {
        let mut lives = self.was.clone();
        lives.push(self.id.clone());
        let forgotten = lives.len().saturating_sub(LIVES);
        lives.drain(..forgotten);
        lives
    }

    pub(super) fn after(self, was: Vec<Name>) -> Self {
        Self { was, ..self }
    }
}
