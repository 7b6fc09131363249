//! Names, ids and wall-clock times shared by all crates.

mod job;
mod process;
mod task;
mod wall;

pub use job::{Error, Job};
pub use process::{Name, Process};
pub use task::Task;
pub use wall::Wall;
