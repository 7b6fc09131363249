//! The handshake: each side proves that it knows the shared key before other frames are accepted.

use crate::gate::Gate;
use crate::{Error, Key, LinkTiming};
use cassiarock_id::{Name, Process};
use cassiarock_wire::{Frame, Hello, Role, decode, encode};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

pub(crate) type Socket = WebSocketStream<Gate>;

/// The read buffer of a link, in bytes. The library zeroes all of it before each read, and its
/// default of 128 KiB took a third of the processor time of an entry with 44 idle links. Most
/// frames are smaller than 1 KiB.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The websocket configuration of both ends of a link.
pub(crate) fn config() -> WebSocketConfig {
    WebSocketConfig::default().read_buffer_size(READ_BUFFER_BYTES)
}

/// What this process presents to its peers, and the timing of its links.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The process.
    pub process: Process,
    /// Its role.
    pub role: Role,
    /// Its data centre.
    pub data_centre: Name,
    /// The address at which others dial it, empty if it accepts no links.
    pub address: Name,
    /// The timeouts and redial pauses of its links.
    pub timing: LinkTiming,
}

impl Identity {
    fn hello(&self, nonce: [u8; 16], proof: Vec<u8>) -> Hello {
        Hello {
            version: Hello::VERSION,
            process: self.process.clone(),
            role: self.role,
            data_centre: self.data_centre.clone(),
            address: self.address.clone(),
            nonce,
            proof,
        }
    }
}

/// The accepting side: sends its nonce, verifies the proof of the peer, then sends its own.
pub(crate) async fn accept(
    socket: &mut Socket,
    peer: SocketAddr,
    identity: &Identity,
    key: &Key,
) -> Result<Hello, Error> {
    let ours = rand::random();
    send(socket, peer, identity, identity.hello(ours, Vec::new())).await?;
    let theirs = receive(socket, peer, identity).await?;
    verify(key, &theirs, &ours, peer)?;
    let proof = key.proof(&theirs.nonce, &ours, &identity.process);
    send(socket, peer, identity, identity.hello(ours, proof)).await?;
    Ok(theirs)
}

/// The dialling side: sends its proof, then verifies that of the peer.
pub(crate) async fn dial(
    socket: &mut Socket,
    peer: SocketAddr,
    identity: &Identity,
    key: &Key,
) -> Result<Hello, Error> {
    let first = receive(socket, peer, identity).await?;
    let ours = rand::random();
    let proof = key.proof(&first.nonce, &ours, &identity.process);
    send(socket, peer, identity, identity.hello(ours, proof)).await?;
    let second = receive(socket, peer, identity).await?;
    verify(key, &second, &ours, peer)?;
    Ok(second)
}

fn verify(key: &Key, theirs: &Hello, ours: &[u8; 16], peer: SocketAddr) -> Result<(), Error> {
    if theirs.version != Hello::VERSION {
        let theirs = theirs.version;
        return Err(Error::Version { peer, theirs });
    }
    if !key.verify(&theirs.proof, ours, &theirs.nonce, &theirs.process) {
        let name = theirs.process.to_string();
        return Err(Error::WrongKey { peer, name });
    }
    Ok(())
}

async fn send(
    socket: &mut Socket,
    peer: SocketAddr,
    identity: &Identity,
    hello: Hello,
) -> Result<(), Error> {
    let failed = |reason: String| Error::Socket {
        step: "send a hello",
        peer,
        reason,
    };
    let bytes = encode(&Frame::Hello(hello)).map_err(|e| failed(e.to_string()))?;
    let sent = timeout(
        identity.timing.handshake_timeout,
        socket.send(Message::binary(bytes)),
    )
    .await;
    sent.map_err(|_| failed("timed out".into()))?
        .map_err(|e| failed(e.to_string()))
}

async fn receive(
    socket: &mut Socket,
    peer: SocketAddr,
    identity: &Identity,
) -> Result<Hello, Error> {
    let failed = |reason| Error::Handshake { peer, reason };
    let message = timeout(identity.timing.handshake_timeout, socket.next())
        .await
        .map_err(|_| failed("no hello in time"))?
        .ok_or(failed("closed before a hello"))?
        .map_err(|_| failed("no websocket message"))?;
    match decode(&message.into_data()) {
        Ok(Frame::Hello(hello)) => Ok(hello),
        Ok(_) => Err(failed("another frame than a hello")),
        Err(_) => Err(failed("no frame")),
    }
}
