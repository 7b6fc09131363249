//! A TCP proxy that delays, silences and cuts connections on demand.

mod fault;
mod pump;
mod state;

pub use fault::{Direction, Fault, Scope};

use crate::background::Background;
use state::State;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

/// A proxy on a port of its own. Dropping it closes its port and all connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    state: Arc<State>,
    _background: Background,
}

impl Proxy {
    /// A proxy without a target yet: connections are refused until it has one. The
    /// address can so go into the settings of the process that it will stand before.
    ///
    /// # Errors
    /// If no port or no thread is to be had.
    pub fn new() -> io::Result<Self> {
        Self::at(([127, 0, 0, 1], 0).into())
    }

    /// The same at an address of the loopback network that others know already.
    ///
    /// # Errors
    /// If the address is taken or no thread is to be had.
    pub fn at(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let background = Background::new()?;
        background.spawn(pump::accept(listener, state.clone()));
        Ok(Self {
            address,
            state,
            _background: background,
        })
    }

    /// The same proxy before `target`.
    ///
    /// ```
    /// # fn main() -> std::io::Result<()> {
    /// use cassiarock_test_support::proxy::{Direction, Fault, Proxy, Scope};
    /// use std::net::{TcpListener, TcpStream};
    /// let server = TcpListener::bind("127.0.0.1:0")?;
    /// let proxy = Proxy::new()?.with_target(server.local_addr()?);
    /// let _client = TcpStream::connect(proxy.address())?;
    /// let _accepted = server.accept()?;
    /// proxy.set(Scope::Existing, Direction::Both, Fault::Silent);
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn with_target(self, target: SocketAddr) -> Self {
        self.set_target(target);
        self
    }

    /// Sends new connections to `target` from now on.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.set_target(target);
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its address as an HTTP base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Puts a fault on connections, or takes it off with [`Fault::None`].
    pub fn set(&self, scope: Scope, direction: Direction, fault: Fault) {
        self.state.set(scope, direction, fault);
    }

    /// Puts a fault on all connections in both directions, new ones too.
    pub fn set_all(&self, fault: Fault) {
        self.set(Scope::All, Direction::Both, fault);
    }

    /// How many connections are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.state.open()
    }

    /// How many connections were accepted so far.
    #[must_use]
    pub fn accepted(&self) -> usize {
        self.state.accepted()
    }

    /// How many bytes came in so far from both ends, those kept back included. A large
    /// message shows here also while it is kept back.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.state.bytes()
    }
}
