//! Accepts links from peers.

use crate::link::Opened;
use crate::{Error, Event, Identity, Key, handshake, link};
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::accept_async_with_config;

/// A bound address at which peers dial this process.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    address: SocketAddr,
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
        Ok(Self { listener, address })
    }

    /// The bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts links until the process ends. Peers that fail the handshake are logged and rejected.
    pub async fn run(self, identity: Identity, key: Key, events: mpsc::Sender<Event>) {
        loop {
            let Ok((stream, address)) = self.listener.accept().await else {
                // Out of file descriptors: retrying at once would only use processor time.
                tokio::time::sleep(identity.timing.handshake_timeout).await;
                continue;
            };
            let (identity, key, events) = (identity.clone(), key.clone(), events.clone());
            tokio::spawn(async move {
                let error = serve(stream, address, &identity, &key, events).await;
                log::info!(peer:% = address; "link ended: {error}");
            });
        }
    }
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    identity: &Identity,
    key: &Key,
    events: mpsc::Sender<Event>,
) -> Error {
    let socket_error = |reason: String| Error::Socket {
        step: "accept",
        peer,
        reason,
    };
    if let Err(e) = stream.set_nodelay(true) {
        return socket_error(e.to_string());
    }
    let opening = accept_async_with_config(stream, Some(handshake::config()));
    let opened = timeout(identity.timing.handshake_timeout, opening).await;
    let mut socket = match opened {
        Err(_) => return socket_error("timed out".into()),
        Ok(Err(e)) => return socket_error(e.to_string()),
        Ok(Ok(socket)) => socket,
    };
    match handshake::accept(&mut socket, peer, identity, key).await {
        Ok(hello) => {
            let opened = Opened {
                socket,
                address: peer,
                hello,
                is_dialled: false,
            };
            link::run(opened, identity.timing.idle_timeout, events).await
        }
        Err(error) => {
            metrics::counter!("cassiarock_peer_turned_away_total").increment(1);
            log::warn!(peer:% = peer; "turned away: {error}");
            error
        }
    }
}
