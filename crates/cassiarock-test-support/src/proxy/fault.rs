//! What a proxy can do to connections.

use std::time::Duration;

/// What happens to the bytes of one direction of a connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// They pass.
    #[default]
    None,
    /// They pass this much later.
    Delay(Duration),
    /// So many of them pass a second.
    Rate(u32),
    /// They are kept back and the connection stays open, as when something between the
    /// two ends has lost track of it. Taken off, the fault lets them pass after all.
    Silent,
    /// The connection is closed in order.
    Close,
    /// The connection is reset at both ends.
    Reset,
}

/// Which direction of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the end that connected to the target.
    Up,
    /// From the target to the end that connected.
    Down,
    /// Both.
    Both,
}

/// Which connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Those that are open now.
    Existing,
    /// Those that are opened from now on.
    New,
    /// All of them.
    All,
    /// The one that was accepted after so many others, if it is still open.
    One(usize),
}

/// The faults of a connection's two directions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Faults {
    pub(super) up: Fault,
    pub(super) down: Fault,
}

impl Faults {
    pub(super) const fn set(&mut self, direction: Direction, fault: Fault) {
        match direction {
            Direction::Up => self.up = fault,
            Direction::Down => self.down = fault,
            Direction::Both => {
                self.up = fault;
                self.down = fault;
            }
        }
    }

    pub(super) const fn of(&self, direction: Direction) -> Fault {
        match direction {
            Direction::Down => self.down,
            Direction::Up | Direction::Both => self.up,
        }
    }

    /// Whether the connection is to end, and if so, whether by a reset.
    pub(super) fn cut(&self) -> Option<bool> {
        let both = [self.up, self.down];
        if both.contains(&Fault::Reset) {
            return Some(true);
        }
        both.contains(&Fault::Close).then_some(false)
    }
}
