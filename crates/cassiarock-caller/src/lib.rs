//! The callers' HTTP API: submissions, answers and their checks.
//!
//! The router checks what callers send and hands it on as a [`Call`]; whoever holds the
//! other end of the channel decides, and answers each call once with an [`Answer`].

mod answer;
mod body;
mod call;
mod error;
mod limit;
mod reply;
mod router;
mod serve;
mod submission;

pub use answer::{Answer, Output};
pub use call::Call;
pub use error::Error;
pub use limit::Limit;
pub use router::router;
pub use serve::serve;
pub use submission::{Resources, Submission, Task};
