//! Websocket links between the system's own processes, with heartbeats and a shared key.

mod dial;
mod error;
mod gate;
mod handshake;
mod key;
mod link;
mod links;
mod listen;
mod timing;
mod unproven;

pub use dial::Dialer;
pub use error::Error;
pub use handshake::Identity;
pub use key::Key;
pub use link::{Event, Link};
pub use links::Links;
pub use listen::Listener;
pub use timing::LinkTiming;
