//! Each side proves that it knows the shared key before any other frame counts.

use crate::{Error, Key, Tempo};
use cassiarock_id::{Name, Process};
use cassiarock_wire::{Frame, Hello, Role, decode, encode};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

pub(crate) type Socket = WebSocketStream<TcpStream>;

/// The room for one read, in bytes. The library zeroes all of it before each read, and its own
/// figure of 128 KiB took a third of the processor time of an entry with 44 quiet links. Most
/// frames are smaller than 1 KiB.
const READ: usize = 16 << 10;

/// How each end of a link reads.
pub(crate) fn config() -> WebSocketConfig {
    WebSocketConfig::default().read_buffer_size(READ)
}

/// Who this process is towards its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The process.
    pub process: Process,
    /// Its role.
    pub role: Role,
    /// Its data centre.
    pub data_centre: Name,
    /// Where others dial it.
    pub address: Name,
    /// How soon it takes a link for dead.
    pub tempo: Tempo,
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

/// The dialled side: challenge, check, then prove.
pub(crate) async fn accept(
    socket: &mut Socket,
    peer: SocketAddr,
    me: &Identity,
    key: &Key,
) -> Result<Hello, Error> {
    let ours = rand::random();
    send(socket, peer, me, me.hello(ours, Vec::new())).await?;
    let theirs = receive(socket, peer, me).await?;
    check(key, &theirs, &ours, peer)?;
    let proof = key.proof(&theirs.nonce, &ours, &me.process);
    send(socket, peer, me, me.hello(ours, proof)).await?;
    Ok(theirs)
}

/// The dialling side: prove, then check.
pub(crate) async fn dial(
    socket: &mut Socket,
    peer: SocketAddr,
    me: &Identity,
    key: &Key,
) -> Result<Hello, Error> {
    let first = receive(socket, peer, me).await?;
    let ours = rand::random();
    let proof = key.proof(&first.nonce, &ours, &me.process);
    send(socket, peer, me, me.hello(ours, proof)).await?;
    let second = receive(socket, peer, me).await?;
    check(key, &second, &ours, peer)?;
    Ok(second)
}

fn check(key: &Key, theirs: &Hello, ours: &[u8; 16], peer: SocketAddr) -> Result<(), Error> {
    if theirs.version != Hello::VERSION {
        let theirs = theirs.version;
        return Err(Error::Version { peer, theirs });
    }
    if !key.check(&theirs.proof, ours, &theirs.nonce, &theirs.process) {
        let name = theirs.process.to_string();
        return Err(Error::Stranger { peer, name });
    }
    Ok(())
}

async fn send(
    socket: &mut Socket,
    peer: SocketAddr,
    me: &Identity,
    hello: Hello,
) -> Result<(), Error> {
    let failed = |reason: String| Error::Socket {
        step: "send a hello",
        peer,
        reason,
    };
    let bytes = encode(&Frame::Hello(hello)).map_err(|e| failed(e.to_string()))?;
    let sent = timeout(me.tempo.handshake, socket.send(Message::binary(bytes))).await;
    sent.map_err(|_| failed("timed out".into()))?
        .map_err(|e| failed(e.to_string()))
}

async fn receive(socket: &mut Socket, peer: SocketAddr, me: &Identity) -> Result<Hello, Error> {
    let failed = |reason| Error::Handshake { peer, reason };
    let message = timeout(me.tempo.handshake, socket.next())
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
