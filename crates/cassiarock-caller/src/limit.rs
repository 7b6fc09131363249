//! The limits of the API.

use std::time::Duration;

/// Limits on the resources that one caller can make the process hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limit {
    /// The maximum bytes of a request body.
    pub body: usize,
    /// The maximum bytes that the bodies of all requests keep.
    pub bodies: usize,
    /// The maximum bytes of a request's line and headers.
    pub headers: usize,
    /// The maximum number of open connections.
    pub connections: usize,
    /// The maximum number of tasks in a job.
    pub tasks: usize,
    /// The maximum bytes of an id, a kind or a team.
    pub name: usize,
    /// The longest deadline and the longest wait.
    pub deadline: Duration,
    /// How long a caller may take to send a request's headers, and its body.
    pub receive: Duration,
}

impl Limit {
    /// The most tasks that a job may have.
    pub const TASKS: usize = 860;
}

impl Default for Limit {
    /// 4 MB of body hold 860 tasks of nearly 5 KB each.
    ///
    /// ```
    /// assert_eq!(cassiarock_caller::Limit::default().tasks, 860);
    /// ```
    fn default() -> Self {
        Self {
            body: 4 << 20,
            bodies: 64 << 20,
            headers: 16 << 10,
            connections: 10_000,
            tasks: Self::TASKS,
            name: 128,
            deadline: Duration::from_secs(300),
            receive: Duration::from_secs(10),
        }
    }
}
