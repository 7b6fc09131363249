//! The decisions for transient jobs: admit, order, place, retry, stop; without I/O or clock.

mod decision;
mod demand;
pub mod directory;
pub mod evacuation;
pub mod host;
mod incarnation;
mod job;
pub mod lag;
pub mod message;
pub mod roster;
pub mod scheduler;
pub mod table;
pub mod timing;

pub use decision::Decision;
pub use demand::Demand;
pub use host::Host;
pub use incarnation::Incarnation;
pub use job::{Class, Job, Stage};
pub use message::Message;
pub use scheduler::Scheduler;
pub use table::Table;
