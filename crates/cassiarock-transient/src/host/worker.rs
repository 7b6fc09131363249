//! The upstream as its reports describe it.

use crate::message::Upstream;
use crate::{Life, Resources};
use cassiarock_id::Name;

/// Former lives that are remembered, so that a report that a broken network held up is not
/// taken for a new life.
const LIVES: usize = 16;

/// One life of the upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Worker {
    /// Its id.
    pub id: Name,
    /// When it started, in milliseconds since 1970, if it says so.
    pub born: Option<u64>,
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
    pub was: Vec<Life>,
}

impl Worker {
    pub(super) fn upstream(&self) -> Upstream {
        Upstream {
            id: self.id.clone(),
            born: self.born,
            service: self.service.clone(),
            capacity: self.capacity,
            labels: self.labels.clone(),
            is_leaving: self.is_leaving,
        }
    }

    /// Its life.
    #[must_use]
    pub fn life(&self) -> Life {
        Life::new(self.id.clone()).with_born(self.born)
    }

    /// Whether it is there and has said what it is.
    pub(super) const fn is_present(&self) -> bool {
        !self.is_gone && !self.is_unreported
    }

    /// This life and former ones.
    pub(super) fn lives(&self) -> Vec<Life> {
        let mut lives = self.was.clone();
        lives.push(self.life());
        let forgotten = lives.len().saturating_sub(LIVES);
        lives.drain(..forgotten);
        lives
    }

    pub(super) fn after(self, was: Vec<Life>) -> Self {
        Self { was, ..self }
    }

    /// A later report of the life that `known` describes.
    pub(super) fn following(self, known: Self) -> Self {
        Self {
            born: self.born.or(known.born),
            was: known.was,
            ..self
        }
    }
}
