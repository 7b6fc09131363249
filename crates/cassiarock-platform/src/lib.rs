//! The client of the platform's append-only log: append, read, follow, resolve lost answers.

pub mod batch;
pub mod error;
pub mod follow;
pub mod log;
pub mod neighbour;
pub mod publish;
pub mod reader;
pub mod snapshot;

pub use batch::Batch;
pub use error::Error;
pub use follow::Follower;
pub use log::Log;
pub use publish::Publisher;
pub use reader::Reader;
