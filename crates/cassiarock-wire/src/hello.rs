//! The handshake frames, in which each side proves that it knows the shared key.

use cassiarock_id::{Name, Process};
use serde::{Deserialize, Serialize};

/// The role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Role {
    /// Serves callers and places tasks.
    Entry,
    /// Runs tasks at one upstream.
    Agent,
}

/// Identity and proof of the sender. The accepting side sends its hello first, with a fresh
/// `nonce`. Each proof covers the other side's nonce, so that a recorded one can't be replayed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The sender's protocol version, `Hello::VERSION`.
    pub version: u16,
    /// The process.
    pub process: Process,
    /// Its role.
    pub role: Role,
    /// Its data centre.
    pub data_centre: Name,
    /// The address at which it accepts links, empty if it accepts none.
    pub address: Name,
    /// Random bytes that the other side's proof must cover.
    #[serde(with = "serde_bytes")]
    pub nonce: [u8; 16],
    /// The keyed hash over the other side's nonce; empty in the first hello, whose sender
    /// proves the key with a second one.
    #[serde(with = "serde_bytes")]
    pub proof: Vec<u8>,
}

impl Hello {
    /// The protocol version. A process rejects peers of another version.
    pub const VERSION: u16 = 1;
}
