//! Which upstreams are faulty, from the outcomes of their tasks.

mod monitor;
mod record;
mod settings;

pub use monitor::Monitor;
pub use record::Outcome;
pub use settings::Settings;
