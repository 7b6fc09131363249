//! Whether and when a task is retried.

mod budget;

pub use budget::{Budget, RetrySafety, Settings};
