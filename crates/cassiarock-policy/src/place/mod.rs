//! An entry's waiting tasks and its view of the upstreams: which task starts where.

mod candidates;
mod demand;
mod job;
mod placer;
mod pool;
mod queue;
mod settings;
mod upstream;
mod view;

pub use job::{PlacedTask, ReadyTasks, TaskKey};
pub use placer::{Action, Placer};
pub use settings::Settings;
pub use upstream::Upstream;
