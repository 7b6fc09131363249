//! HTTP server with bounds on the connections, memory and time that its clients can take.
//!
//! [`serve`] runs a router on a listener. Its handlers read bodies with an [`Intake`], which counts
//! the memory that all bodies of the listener keep, not only their content.

mod bound;
mod connection;
mod content;
mod error;
mod intake;
mod memory;
mod read_state;
mod room;
mod seat;
mod server;
mod stream;

pub use bound::Bound;
pub use content::{Content, Reserve};
pub use error::Error;
pub use intake::{Intake, Terms};
pub use server::serve;
