//! Placement of an entry's waiting tasks: which task starts at which upstream.

mod candidates;
mod demand;
mod job;
mod placer;
mod queue;
mod settings;
mod table;
mod upstream;
mod view;

pub use job::{PlacedTask, ReadyTasks, TaskKey};
pub use placer::{Action, Placer};
pub use settings::Settings;
pub use upstream::Upstream;
