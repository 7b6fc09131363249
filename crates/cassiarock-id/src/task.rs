//! The index of a task in its job.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The index of a task in its job's list, from 0. The caller's own task ids are
/// kept at the entry; between processes the index is sufficient and shorter.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Task(pub u16);

impl Task {
    /// The index as a slice index.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
