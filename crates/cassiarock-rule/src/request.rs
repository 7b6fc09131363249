//! What the rules see of a request.

use crate::condition::TimeOfDay;
use cassiarock_id::{Name, Wall};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a job declares for each of its tasks, or what an upstream has in all. Declarations are
/// often far off: rules may sort by them, placement must not trust them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory: u32,
    /// Accelerators.
    pub accelerators: u32,
}

/// The load of pools in percent of their slots, as the entry sees it.
#[derive(Clone, Debug, Default)]
pub struct PoolLoads(BTreeMap<Name, u32>);

impl PoolLoads {
    /// The same with the load of `pool` set.
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

    /// The load of a pool; zero if nothing is known of it.
    #[must_use]
    pub fn of(&self, pool: &str) -> u32 {
        self.0.get(pool).copied().unwrap_or(0)
    }
}

/// A request as the rules see it.
#[derive(Clone, Debug)]
pub struct Request {
    /// What the caller calls this sort of work.
    pub kind: Name,
    /// The caller's team.
    pub team: Name,
    /// The number of tasks.
    pub task_count: u32,
    /// What each task declares.
    pub need: Resources,
    /// The data centre in which it arrived.
    pub data_centre: Name,
    /// When it arrived.
    pub at: Wall,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// The load of the pools.
    pub loads: PoolLoads,
}

impl Request {
    /// A request of one task that may not be repeated, from no team and no data centre.
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

    /// The same from `team`.
    #[must_use]
    pub fn with_team(self, team: impl Into<Name>) -> Self {
        Self {
            team: team.into(),
            ..self
        }
    }

    /// The same with so many tasks.
    #[must_use]
    pub fn with_task_count(self, task_count: u32) -> Self {
        Self { task_count, ..self }
    }

    /// The same with declared needs.
    #[must_use]
    pub fn with_need(self, need: Resources) -> Self {
        Self { need, ..self }
    }

    /// The same, arrived in `data_centre`.
    #[must_use]
    pub fn with_data_centre(self, data_centre: impl Into<Name>) -> Self {
        Self {
            data_centre: data_centre.into(),
            ..self
        }
    }

    /// The same, arrived at `at`.
    #[must_use]
    pub fn with_time(self, at: Wall) -> Self {
        Self { at, ..self }
    }

    /// The same, repeatable or not.
    #[must_use]
    pub fn with_repeatable(self, repeatable: bool) -> Self {
        Self { repeatable, ..self }
    }

    /// The same, seen with these loads of the pools.
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
