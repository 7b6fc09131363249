//! What entry and agent processes share: shutdown stages, their parts, clocks, status and metrics.

mod behind;
mod clock;
mod forward;
mod monitor;
mod outlet;
mod parts;
mod pump;
mod stage;
mod state;
mod status;

pub use behind::Behind;
pub use clock::{Clock, Now};
pub use forward::{forward, forward_latest};
pub use monitor::{Error, Monitor};
pub use outlet::{Omission, Outlet};
pub use parts::{Fault, Parts};
pub use pump::{BACKLOG, Pump};
pub use stage::{Report, Stage, until};
pub use state::state;
pub use status::{Evacuation, Status};
