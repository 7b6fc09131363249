//! All decisions of an entry about one pool of upstreams, put together.

mod dispatcher;
mod settings;
mod submission;

pub use dispatcher::Dispatcher;
pub use settings::Settings;
pub use submission::{Answer, Outcome, Reason, Submission};
