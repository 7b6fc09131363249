//! The run times and resource needs of tasks, learned from outcomes because declared values
//! are unreliable.

mod capacities;
mod estimator;
mod kind;
mod resources;

pub use capacities::{Capacities, Feasibility};
pub use estimator::Estimator;
pub use resources::{ResourceKind, Resources};
