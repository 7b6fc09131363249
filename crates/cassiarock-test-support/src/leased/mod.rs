//! A stand-in for an upstream of the users' platform: it runs tasks under leases, ends them
//! when no lease is renewed, reports to its agent, and lets a witness see every run.

mod fault;
mod report;
mod route;
mod state;
mod witness;

pub use fault::Fault;
pub use witness::{Run, Witness};

use crate::background::Background;
use state::State;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};

/// A running stand-in, with a thread of its own. Dropping it kills it with all that it runs.
pub struct Upstream {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    witness: Witness,
    name: String,
    _background: Background,
}

impl Upstream {
    /// One life of an upstream, named `name`, on the loopback address `ip`, which reports to
    /// the agent at `reports`. Port 0 lets the system choose.
    ///
    /// ```
    /// # fn main() -> std::io::Result<()> {
    /// use cassiarock_test_support::leased::{Upstream, Witness};
    /// let nobody = "127.0.0.1:9".parse().map_err(std::io::Error::other)?;
    /// let upstream = Upstream::new("u-1", ([127, 0, 0, 1].into(), 0), nobody, Witness::new())?;
    /// assert_eq!(upstream.running(), 0);
    /// # Ok(())
    /// # }
    /// ```
    ///
    /// # Errors
    /// If no port or no thread is to be had.
    pub fn new(
        name: &str,
        (ip, port): (Ipv4Addr, u16),
        reports: SocketAddr,
        witness: Witness,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, port))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::new(name, witness.clone())));
        let background = Background::new()?;
        background.spawn(route::serve(listener, state.clone()));
        background.spawn(state::tick(state.clone()));
        background.spawn(report::run(
            name.to_owned(),
            address,
            reports,
            state.clone(),
        ));
        Ok(Self {
            address,
            state,
            witness,
            name: name.to_owned(),
            _background: background,
        })
    }

    /// Where it takes orders.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many tasks it runs.
    #[must_use]
    pub fn running(&self) -> usize {
        self.lock().running()
    }

    /// Changes what goes wrong.
    pub fn with_fault(&self, change: impl FnOnce(&mut Fault)) {
        change(&mut self.lock().fault);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        // Its server ends a moment later; until then it must start nothing.
        self.lock().is_dead = true;
        self.witness.gone(&self.name);
    }
}
