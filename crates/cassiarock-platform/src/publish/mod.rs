//! Appends records so that a lost answer causes neither a duplicate change nor a false failure.

mod append;
mod publisher;
mod turn;

pub use append::append;
pub use publisher::{Answer, Publisher};
pub use turn::wait_for_turn;
