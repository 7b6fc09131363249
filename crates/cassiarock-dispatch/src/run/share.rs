//! Divides the memory and the file descriptors of a process among its listeners.

use cassiarock_adapter::Settings;
use cassiarock_server::Bound;
use std::time::Duration;

/// How long a connection may be idle or take to send its headers. It equals the idle time that the
/// operators' configuration allows by default.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// What a connection keeps at most beside the body of its request: its buffers and headers.
const CONNECTION_BYTES: usize = 24 << 10;

/// The divisors of the share of the memory that all connections and all bodies may keep.
const CONNECTIONS_PER_MEMORY: usize = 2;
const BODIES_PER_MEMORY: usize = 4;
const REPORTS_PER_MEMORY: usize = 16;

/// The divisors of the share of the file descriptors. What is left over after the callers' three
/// quarters is for links, the store and the process itself.
const SMALL_LISTENER_PER_DESCRIPTORS: usize = 32;
const UNPROVEN_LINKS_PER_DESCRIPTORS: usize = 16;

/// Callers' connections that wait for their place or are being rejected.
const WAITING_CALLERS: usize = 64;

/// Most connections of a listener that only one peer is said to call.
const MAX_SMALL_LISTENER: usize = 128;

/// The memory in bytes and the file descriptors of a process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    memory: usize,
    file_descriptors: usize,
}

impl Share {
    pub(super) const fn new(settings: &Settings) -> Self {
        Self {
            memory: settings.memory,
            file_descriptors: settings.file_descriptors,
        }
    }

    /// For the callers of an entry.
    pub(super) fn callers(self) -> Bound {
        let by_memory = self.memory / CONNECTIONS_PER_MEMORY / CONNECTION_BYTES;
        let by_descriptors = self.file_descriptors / 4 * 3 - WAITING_CALLERS;
        Bound::new("callers")
            .with_connections(by_memory.min(by_descriptors))
            .with_waiting(WAITING_CALLERS)
            .with_bodies(self.memory / BODIES_PER_MEMORY)
            .with_receive(IDLE_TIMEOUT)
    }

    /// For the reports of an agent's upstream.
    pub(super) fn reports(self) -> Bound {
        self.small_listener("reports")
            .with_bodies(self.memory / REPORTS_PER_MEMORY)
    }

    /// For the checks of the load balancer.
    pub(super) fn readiness(self) -> Bound {
        self.small_listener("readiness").with_bodies(0)
    }

    /// For operators and collectors of metrics.
    pub(super) fn monitor(self) -> Bound {
        self.small_listener("monitor").with_bodies(0)
    }

    /// The open connections of processes that have not proved the key yet.
    pub(super) const fn unproven_links(self) -> usize {
        self.file_descriptors / UNPROVEN_LINKS_PER_DESCRIPTORS
    }

    fn small_listener(self, name: &'static str) -> Bound {
        let connections = self.file_descriptors / SMALL_LISTENER_PER_DESCRIPTORS;
        let connections = connections.min(MAX_SMALL_LISTENER);
        Bound::new(name)
            .with_connections(connections)
            .with_waiting(connections / 2)
            .with_receive(IDLE_TIMEOUT)
    }
}
