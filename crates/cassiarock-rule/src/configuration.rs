//! The published configuration of pools and quotas.

use crate::action::DEFAULT_POOL;
use cassiarock_id::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The settings of a named pool of agents.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pool {
    /// The maximum share of its agents, in percent, that operators may drain at once.
    pub leaving_percent: u32,
}

impl Default for Pool {
    /// Lets a third of the pool leave at once, one rack or data centre of three.
    fn default() -> Self {
        Self {
            leaving_percent: 34,
        }
    }
}

/// The quota of a team.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// The maximum number of slots in use at once, over all pools.
    pub slots: u32,
}

/// Pools and quotas.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// The pools that rules may name.
    pub pools: BTreeMap<Name, Pool>,
    /// The quota of each team that has one.
    pub teams: BTreeMap<Name, Quota>,
}

impl Default for Configuration {
    fn default() -> Self {
        Self {
            pools: BTreeMap::from([(DEFAULT_POOL.into(), Pool::default())]),
            teams: BTreeMap::new(),
        }
    }
}
