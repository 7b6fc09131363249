//! Membership versions (views): which agent keeps a job, and when nobody acts by an older
//! view any more.

mod epoch;
mod history;
mod scope;
mod snapshot;

pub use history::{Timing, ViewHistory};
pub use scope::JobScope;
pub use snapshot::View;
