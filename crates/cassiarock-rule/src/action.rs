//! The action that a rule applies to the requests that it matches.

use cassiarock_id::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// The pool of agents that are assigned to no other, and of requests that no rule matches.
pub const DEFAULT_POOL: &str = "default";

/// The action of a rule.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Run the request.
    Run(Run),
    /// Refuse the request before any of its tasks starts.
    Refuse {
        /// The reason that is sent to the caller.
        reason: Name,
    },
}

/// The pool in which a request runs, and its limits.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Run {
    /// The pool whose agents run the tasks.
    pub pool: Name,
    /// The time from arrival within which the whole request must be finished.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// The maximum number of tasks under this rule that may wait at one entry; more are refused.
    pub queue: u32,
    /// The maximum number of tasks under this rule that one entry may have running at once; no
    /// limit if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// The maximum number of retries, in percent of the first attempts.
    pub retry_percent: u32,
    /// Of waiting tasks, those with a higher priority start first.
    pub priority: u8,
}

impl Default for Run {
    /// Limits that work without any published rules: a deadline of 30 s, far above the few
    /// seconds of the longest tasks; a queue of 4,096 tasks, which holds a few whole jobs; and
    /// retries of 10%, which cannot double the load.
    fn default() -> Self {
        Self {
            pool: DEFAULT_POOL.into(),
            deadline: Duration::from_secs(30),
            queue: 4096,
            slots: None,
            retry_percent: 10,
            priority: 100,
        }
    }
}

impl Run {
    /// The default limits in `pool`.
    ///
    /// ```
    /// use cassiarock_rule::action::Run;
    /// assert_eq!(&*Run::new("night").pool, "night");
    /// ```
    pub fn new(pool: impl Into<Name>) -> Self {
        Self {
            pool: pool.into(),
            ..Self::default()
        }
    }

    /// Replaces the deadline.
    #[must_use]
    pub fn with_deadline(self, deadline: Duration) -> Self {
        Self { deadline, ..self }
    }

    /// Replaces the queue limit, in tasks per entry.
    #[must_use]
    pub fn with_queue(self, queue: u32) -> Self {
        Self { queue, ..self }
    }

    /// Replaces the priority.
    #[must_use]
    pub fn with_priority(self, priority: u8) -> Self {
        Self { priority, ..self }
    }
}
