//! The dispatcher, which combines all decisions of an entry about one pool of upstreams.

mod dispatcher;
mod settings;
mod submission;

pub use dispatcher::Dispatcher;
pub use settings::Settings;
pub use submission::{Answer, Outcome, Reason, Submission};
