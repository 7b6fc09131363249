//! Chance in decisions: among equals, and in pauses.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;

/// A generator of its own, so that a simulation with a seed plays the same again.
#[derive(Debug)]
pub(super) struct Chance(RefCell<StdRng>);

impl Default for Chance {
    fn default() -> Self {
        Self::new(rand::random())
    }
}

impl Chance {
    pub(super) fn new(seed: u64) -> Self {
        Self(RefCell::new(StdRng::seed_from_u64(seed)))
    }

    /// Less than `most`, and at least nothing.
    pub(super) fn below(&self, most: f64) -> f64 {
        self.0.borrow_mut().random_range(0.0..most)
    }
}
