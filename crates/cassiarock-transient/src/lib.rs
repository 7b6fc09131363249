//! Decision logic for transient jobs: admission, ordering, placement, retries and stops. It
//! performs no I/O and reads no clock.

mod decision;
pub mod directory;
pub mod evacuation;
pub mod freshness;
pub mod hedge;
pub mod host;
mod incarnation;
mod job;
pub mod lag;
pub mod message;
pub mod missing;
mod resources;
pub mod roster;
pub mod scheduler;
pub mod table;
pub mod timing;

pub use decision::Decision;
pub use host::Host;
pub use incarnation::Incarnation;
pub use job::{Job, JobClass, Stage};
pub use message::Message;
pub use resources::Resources;
pub use scheduler::Scheduler;
pub use table::RouteTable;
