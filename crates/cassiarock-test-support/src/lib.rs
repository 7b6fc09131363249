//! Stand-ins for the platform's log and for workers, the fault-injecting proxy and load tools, for tests and examples.

mod background;

pub mod leased;
pub mod log;
pub mod process;
pub mod proxy;
pub mod worker;
