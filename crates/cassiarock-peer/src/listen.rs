//! Accepts links from peers.

use crate::gate::Gate;
use crate::handshake::Socket;
use crate::link::Opened;
use crate::unproven::{Ticket, Unproven};
use crate::{Error, Event, Identity, Key, handshake, link};
use cassiarock_wire::Hello;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::accept_async_with_config;

/// Peers that may be in their handshakes at a time by default.
const MAX_UNPROVEN: usize = 512;

/// A bound address at which peers dial this process.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    address: SocketAddr,
    max_unproven: usize,
}

impl Listener {
    /// Binds `address`; port 0 lets the operating system choose a port.
    ///
    /// # Errors
    ///
    /// `Error::Bind` if the address is in use or does not belong to this VM.
    pub async fn bind(address: SocketAddr) -> Result<Self, Error> {
        let failed = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        Ok(Self {
            listener,
            address,
            max_unproven: MAX_UNPROVEN,
        })
    }

    /// Sets how many peers may be in their handshakes at a time.
    #[must_use]
    pub const fn with_max_unproven(mut self, max_unproven: usize) -> Self {
        self.max_unproven = max_unproven;
        self
    }

    /// The bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts links until the process ends. Peers that fail the handshake are logged and rejected. If
    /// too many are in their handshakes, the oldest connection is closed for the newest.
    pub async fn run(self, identity: Identity, key: Key, events: mpsc::Sender<Event>) {
        let unproven = Unproven::new(self.max_unproven);
        loop {
            let Ok((stream, address)) = self.listener.accept().await else {
                // Out of file descriptors: retrying at once would only use processor time.
                tokio::time::sleep(identity.timing.handshake_timeout).await;
                continue;
            };
            let Some(ticket) = unproven.admit() else {
                count_turned_away();
                log::warn!(peer:% = address; "turned away: too many peers have not proved the key");
                continue;
            };
            let (identity, key, events) = (identity.clone(), key.clone(), events.clone());
            tokio::spawn(async move {
                let error = serve(stream, address, ticket, &identity, &key, events).await;
                log::info!(peer:% = address; "link ended: {error}");
            });
        }
    }
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    mut ticket: Ticket,
    identity: &Identity,
    key: &Key,
    events: mpsc::Sender<Event>,
) -> Error {
    let opened = tokio::select! {
        opened = open(stream, peer, identity, key) => opened,
        () = ticket.closed() => Err(accept_error(peer, "closed for a newer connection".into())),
    };
    drop(ticket);
    match opened {
        Ok((mut socket, hello)) => {
            socket.get_mut().open();
            let opened = Opened {
                socket,
                address: peer,
                hello,
                is_dialled: false,
            };
            link::run(opened, identity.timing.idle_timeout, events).await
        }
        Err(error) => error,
    }
}

/// Opens the websocket and has the peer prove the key.
async fn open(
    stream: TcpStream,
    peer: SocketAddr,
    identity: &Identity,
    key: &Key,
) -> Result<(Socket, Hello), Error> {
    let failed = |reason| accept_error(peer, reason);
    stream
        .set_nodelay(true)
        .map_err(|e| failed(e.to_string()))?;
    let opening = accept_async_with_config(Gate::new(stream), Some(handshake::config()));
    let opened = timeout(identity.timing.handshake_timeout, opening).await;
    let opened = opened.map_err(|_| failed("timed out".into()))?;
    let mut socket = opened.map_err(|e| failed(e.to_string()))?;
    let hello = handshake::accept(&mut socket, peer, identity, key).await;
    let hello = hello.inspect_err(|error| {
        count_turned_away();
        log::warn!(peer:% = peer; "turned away: {error}");
    })?;
    Ok((socket, hello))
}

fn count_turned_away() {
    metrics::counter!("cassiarock_peer_turned_away_total").increment(1);
}

const fn accept_error(peer: SocketAddr, reason: String) -> Error {
    Error::Socket {
        step: "accept",
        peer,
        reason,
    }
}
