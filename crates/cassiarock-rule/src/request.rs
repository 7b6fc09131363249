//! The properties of a request that rules can match.

use crate::condition::TimeOfDay;
use cassiarock_id::{Name, Wall};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The resources that a job declares for each of its tasks, or that an upstream has in total.
/// Declarations are often far off: rules may match on them, but placement must not rely on them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(expecting = "struct Need")] // part of the answer to a malformed body
pub struct Resources {
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory: u32,
    /// Accelerators.
    pub accelerators: u32,
}

/// The load of each pool in percent of its slots, as known to the entry.
#[derive(Clone, Debug, Default)]
pub struct PoolLoads(BTreeMap<Name, u32>);

impl PoolLoads {
    /// Sets the load of `pool`.
    ///
    /// ```
    /// let loads = cassiarock_rule::request::PoolLoads::default().with_pool("default", 80);
    /// assert_eq!(loads.of("default"), 80);
    /// assert_eq!(loads.of("other"), 0);
    /// ```
    #[must_use]
    pub fn with_pool(mut self, pool: impl Into<Name>, percent: u32) -> Self {
        self.0.insert(pool.into(), percent);
        self
    }

    /// The load of a pool; zero if unknown.
    #[must_use]
    pub fn of(&self, pool: &str) -> u32 {
        self.0.get(pool).copied().unwrap_or(0)
    }
}

/// A request to be matched against the rules.
#[derive(Clone, Debug)]
pub struct Request {
    /// The kind of work, as named by the caller.
    pub kind: Name,
    /// The caller's team.
    pub team: Name,
    /// The number of tasks.
    pub task_count: u32,
    /// The declared resources of each task.
    pub need: Resources,
    /// The data centre in which it arrived.
    pub data_centre: Name,
    /// The time of arrival.
    pub at: Wall,
    /// Whether it is idempotent and may run more than once.
    pub repeatable: bool,
    /// The load of the pools at arrival.
    pub loads: PoolLoads,
}

impl Request {
    /// Creates a request of one task that is not repeatable, without team and data centre.
    ///
    /// ```
    /// use cassiarock_rule::{Request, State};
    /// let decision = State::default().rules.decide(&Request::new("seat-check"));
    /// assert_eq!(&*decision.rule, "default");
    /// ```
    pub fn new(kind: impl Into<Name>) -> Self {
        Self {
            kind: kind.into(),
            team: "".into(),
            task_count: 1,
            need: Resources::default(),
            data_centre: "".into(),
            at: Wall::default(),
            repeatable: false,
            loads: PoolLoads::default(),
        }
    }

    /// Sets the team.
    #[must_use]
    pub fn with_team(self, team: impl Into<Name>) -> Self {
        Self {
            team: team.into(),
            ..self
        }
    }

    /// Sets the number of tasks.
    #[must_use]
    pub fn with_task_count(self, task_count: u32) -> Self {
        Self { task_count, ..self }
    }

    /// Sets the declared resources of each task.
    #[must_use]
    pub fn with_need(self, need: Resources) -> Self {
        Self { need, ..self }
    }

    /// Sets the data centre of arrival.
    #[must_use]
    pub fn with_data_centre(self, data_centre: impl Into<Name>) -> Self {
        Self {
            data_centre: data_centre.into(),
            ..self
        }
    }

    /// Sets the time of arrival.
    #[must_use]
    pub fn with_time(self, at: Wall) -> Self {
        Self { at, ..self }
    }

    /// Sets whether the request is repeatable.
    #[must_use]
    pub fn with_repeatable(self, repeatable: bool) -> Self {
        Self { repeatable, ..self }
    }

    /// Sets the load of the pools.
    #[must_use]
    pub fn with_loads(self, loads: PoolLoads) -> Self {
        Self { loads, ..self }
    }

    /// The time of day (UTC) at which it arrived.
    #[must_use]
    pub fn time_of_day(&self) -> TimeOfDay {
        TimeOfDay::at(self.at)
    }
}
