//! One agent.

use crate::action::DEFAULT_POOL;
use crate::request::Resources;
use cassiarock_id::{Name, Process};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What others must know of an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its name and present life.
    pub process: Process,
    /// Where it listens for other processes.
    pub address: SocketAddr,
    /// Where it serves its status and metrics, if it announced that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<SocketAddr>,
    /// Its data centre.
    pub data_centre: Name,
    /// Its rack.
    pub rack: Name,
    /// Its pool.
    pub pool: Name,
    /// How many tasks its upstream runs at once.
    pub slots: u32,
    /// How many connections its upstream takes.
    pub connections: u32,
    /// What its upstream has, if it announced that: a task that needs more can never run there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub has: Option<Resources>,
    /// Whether it gets no new work.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

impl Member {
    /// An agent of the default pool with one slot and one connection, in an unnamed place.
    ///
    /// ```
    /// use cassiarock_id::Process;
    /// use cassiarock_rule::Member;
    /// let address = ([127, 0, 0, 1], 7001).into();
    /// let member = Member::new(Process::new("agent-1", 1), address).with_capacity(8, 64);
    /// assert_eq!((member.slots, member.connections), (8, 64));
    /// ```
    #[must_use]
    pub fn new(process: Process, address: SocketAddr) -> Self {
        Self {
            process,
            address,
            status: None,
            data_centre: "".into(),
            rack: "".into(),
            pool: DEFAULT_POOL.into(),
            slots: 1,
            connections: 1,
            has: None,
            leaving: false,
        }
    }

    /// The same with its status and metrics served at `status`.
    #[must_use]
    pub fn with_status(self, status: SocketAddr) -> Self {
        Self {
            status: Some(status),
            ..self
        }
    }

    /// The same before an upstream that has so much.
    #[must_use]
    pub fn with_resources(self, has: Resources) -> Self {
        Self {
            has: Some(has),
            ..self
        }
    }

    /// The same in this place.
    #[must_use]
    pub fn with_place(self, data_centre: impl Into<Name>, rack: impl Into<Name>) -> Self {
        Self {
            data_centre: data_centre.into(),
            rack: rack.into(),
            ..self
        }
    }

    /// The same in another pool.
    #[must_use]
    pub fn with_pool(self, pool: impl Into<Name>) -> Self {
        Self {
            pool: pool.into(),
            ..self
        }
    }

    /// The same with so many slots and connections.
    #[must_use]
    pub fn with_capacity(self, slots: u32, connections: u32) -> Self {
        Self {
            slots,
            connections,
            ..self
        }
    }
}
