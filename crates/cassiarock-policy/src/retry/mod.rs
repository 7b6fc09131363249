//! Whether and when a task is tried again.

mod budget;

pub use budget::{Budget, RetrySafety, Settings};
