//! The announcement of an upstream.

use cassiarock_id::{Name, Process};

/// An upstream as its agent announced it.
///
/// ```
/// use cassiarock_id::Process;
/// use cassiarock_policy::place::Upstream;
/// let upstream = Upstream::new(Process::new("agent-1", 1), 8).with_location("dc-1", "rack-2");
/// assert_eq!(upstream.slots, 8);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// The agent that serves it.
    pub agent: Process,
    /// How many tasks it runs at once.
    pub slots: u16,
    /// The data centre that it runs in; empty if unknown.
    pub data_centre: Name,
    /// Its rack in the data centre; empty if unknown.
    pub rack: Name,
}

impl Upstream {
    /// An upstream at an unknown location.
    #[must_use]
    pub fn new(agent: Process, slots: u16) -> Self {
        Self {
            agent,
            slots,
            data_centre: Name::from(""),
            rack: Name::from(""),
        }
    }

    /// Sets the data centre and the rack.
    #[must_use]
    pub fn with_location(mut self, data_centre: impl Into<Name>, rack: impl Into<Name>) -> Self {
        self.data_centre = data_centre.into();
        self.rack = rack.into();
        self
    }
}
