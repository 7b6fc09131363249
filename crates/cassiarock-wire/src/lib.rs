//! The frames between the system's own processes and their CBOR encoding.

mod codec;
mod frame;
mod hello;
mod work;

pub use codec::{Error, decode, encode};
pub use frame::Frame;
pub use hello::{Hello, Role};
pub use work::{
    Answered, Ended, FinalAnswer, Found, HandOver, Ping, Pong, Rejected, Reported, Run, TakenOver,
    TaskStart,
};
