//! All decisions of an entry about one pool of upstreams, put together.

mod dispatcher;
mod setting;
mod submission;

pub use dispatcher::Dispatcher;
pub use setting::Setting;
pub use submission::{Answer, Outcome, Reason, Submission};
