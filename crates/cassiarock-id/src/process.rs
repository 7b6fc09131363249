//! The identity of a running process.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// A shared immutable name.
pub type Name = Arc<str>;

/// One incarnation of a process. A restart under the same name is another incarnation,
/// because everything that the earlier one held in memory is lost.
///
/// ```
/// use cassiarock_id::Process;
/// let first = Process::new("agent-1", 1);
/// assert_ne!(first, Process::new("agent-1", 2));
/// assert_eq!(first.to_string(), "agent-1#1");
/// ```
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Process {
    /// The name from the process's settings.
    pub name: Name,
    /// The wall-clock time of the start, in milliseconds.
    pub incarnation: u64,
}

impl Process {
    /// The incarnation `incarnation` of the process `name`.
    pub fn new(name: impl Into<Name>, incarnation: u64) -> Self {
        Self {
            name: name.into(),
            incarnation,
        }
    }
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}
