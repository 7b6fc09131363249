//! What a task takes: its run time and its need, learned rather than believed.

mod capacities;
mod estimator;
mod kind;
mod resources;

pub use capacities::{Capacities, Feasibility};
pub use estimator::Estimator;
pub use resources::{ResourceKind, Resources};
