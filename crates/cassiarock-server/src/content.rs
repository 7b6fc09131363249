//! A request body that has been received, and what is kept of it.

use crate::memory::Held;
use crate::seat::Seat;
use std::ops::Deref;
use std::sync::Arc;

/// A request body that has been received. It counts towards the memory of its listener until it is
/// dropped.
#[derive(Debug)]
pub struct Content {
    bytes: Vec<u8>,
    held: Held,
    seat: Arc<Seat>,
}

impl Content {
    pub(crate) const fn new(bytes: Vec<u8>, held: Held, seat: Arc<Seat>) -> Self {
        Self { bytes, held, seat }
    }

    /// Frees the body and returns the memory that it has held.
    pub(crate) fn into_held(mut self) -> Held {
        std::mem::take(&mut self.held)
    }
}

/// Memory that counts towards that of its listener until it is dropped.
#[derive(Debug)]
pub struct Reserve {
    _held: Held,
}

impl Reserve {
    pub(crate) const fn new(held: Held) -> Self {
        Self { _held: held }
    }
}

impl Deref for Content {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Content {
    fn drop(&mut self) {
        self.seat.hold(0);
    }
}
