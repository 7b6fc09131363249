//! An agent's slots: which starts run, which wait, and which entry gets the next free slot.

mod demand;
mod queue;
mod scheduler;
mod settings;

pub use scheduler::{Action, Finish, SlotScheduler, Verdict};
pub use settings::Settings;
