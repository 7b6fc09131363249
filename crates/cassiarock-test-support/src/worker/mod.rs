//! A stand-in for a worker: runs tasks by waiting, counts every start, fails on demand.

mod fault;
mod route;
mod state;
mod tally;

pub use fault::Fault;
pub use tally::Tally;

use crate::background::Background;
use state::State;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// A running stand-in, on a port of its own. It has a thread of its own, so that it also
/// works where a test blocks. Dropping it kills it: the port is closed and every open
/// connection with it.
pub struct Worker {
    address: SocketAddr,
    state: Arc<State>,
    _background: Background,
}

impl Worker {
    /// A worker on a free port of the loopback interface.
    ///
    /// # Errors
    /// If no port or no thread is to be had.
    ///
    /// ```
    /// # fn main() -> std::io::Result<()> {
    /// use cassiarock_test_support::worker::{Fault, Worker};
    /// let worker = Worker::new()?;
    /// worker.set_fault(Fault::Hang);
    /// assert_eq!(worker.total(), 0);
    /// # Ok(())
    /// # }
    /// ```
    pub fn new() -> io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let background = Background::new()?;
        background.spawn(route::serve(listener, state.clone()));
        background.spawn(state::sample(state.clone()));
        Ok(Self {
            address,
            state,
            _background: background,
        })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The base URL for an agent's settings.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// What goes wrong from now on, also for tasks that already run.
    pub fn set_fault(&self, fault: Fault) {
        self.state.set_fault(fault);
    }

    /// From now on the worker says that it is leaving. What runs goes on.
    pub fn leave(&self) {
        self.state.leave();
    }

    /// Starts by job and task, each with its count.
    #[must_use]
    pub fn starts(&self) -> BTreeMap<tally::Key, usize> {
        self.state.tally().starts().clone()
    }

    /// The counts so far. They outlive the worker.
    #[must_use]
    pub fn tally(&self) -> Tally {
        self.state.tally()
    }

    /// The tasks that were started more than once, other than by repeatable requests.
    #[must_use]
    pub fn doubled(&self) -> Vec<tally::Key> {
        self.state.tally().doubled()
    }

    /// All starts.
    #[must_use]
    pub fn total(&self) -> usize {
        self.state.tally().total()
    }

    /// The tasks that run now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.state.running()
    }

    /// The most tasks that ever ran at once.
    #[must_use]
    pub fn peak(&self) -> usize {
        self.state.peak()
    }
}
