//! An agent's slots: which start runs, which waits, who gets the next free one.

mod demand;
mod queue;
mod scheduler;
mod settings;

pub use scheduler::{Action, Finish, SlotScheduler, Verdict};
pub use settings::Settings;
