//! Membership versions: who keeps a job, and since when all have moved on.

mod epoch;
mod history;
mod scope;
mod snapshot;

pub use history::{Timing, ViewHistory};
pub use scope::JobScope;
pub use snapshot::View;
