//! A request body that has been received.

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
}

impl Deref for Content {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Content {
    fn drop(&mut self) {
        self.held.shrink(0);
        self.seat.hold(0);
    }
}
