//! The announced data of an agent.

use crate::action::DEFAULT_POOL;
use crate::request::Resources;
use cassiarock_id::{Name, Process};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An agent as it announced itself to the other processes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its name and current incarnation.
    pub process: Process,
    /// The address at which it accepts connections of other processes.
    pub address: SocketAddr,
    /// The address at which it serves status and metrics, if announced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<SocketAddr>,
    /// Its data centre.
    pub data_centre: Name,
    /// Its rack.
    pub rack: Name,
    /// Its pool.
    pub pool: Name,
    /// The number of tasks that its upstream runs at once.
    pub slots: u32,
    /// The maximum number of connections to its upstream.
    pub connections: u32,
    /// The total resources of its upstream, if announced; a task that needs more can never run
    /// there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub has: Option<Resources>,
    /// Whether it is draining and gets no new work.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

impl Member {
    /// Creates an agent of the default pool with one slot and one connection, without data centre
    /// and rack.
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

    /// Sets the address at which status and metrics are served.
    #[must_use]
    pub fn with_status(self, status: SocketAddr) -> Self {
        Self {
            status: Some(status),
            ..self
        }
    }

    /// Sets the total resources of its upstream.
    #[must_use]
    pub fn with_resources(self, has: Resources) -> Self {
        Self {
            has: Some(has),
            ..self
        }
    }

    /// Sets data centre and rack.
    #[must_use]
    pub fn with_place(self, data_centre: impl Into<Name>, rack: impl Into<Name>) -> Self {
        Self {
            data_centre: data_centre.into(),
            rack: rack.into(),
            ..self
        }
    }

    /// Sets the pool.
    #[must_use]
    pub fn with_pool(self, pool: impl Into<Name>) -> Self {
        Self {
            pool: pool.into(),
            ..self
        }
    }

    /// Sets the number of slots and connections.
    #[must_use]
    pub fn with_capacity(self, slots: u32, connections: u32) -> Self {
        Self {
            slots,
            connections,
            ..self
        }
    }
}
