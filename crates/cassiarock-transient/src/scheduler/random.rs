//! Random numbers for choices among equals and for the spread of pauses.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;

/// A generator of the scheduler's own, so that a simulation is reproducible from its seed.
#[derive(Debug)]
pub(super) struct Random(RefCell<StdRng>);

impl Default for Random {
    fn default() -> Self {
        Self::new(rand::random())
    }
}

impl Random {
    pub(super) fn new(seed: u64) -> Self {
        Self(RefCell::new(StdRng::seed_from_u64(seed)))
    }

    /// Draws from the uniform distribution between 0 and `bound`, which is excluded.
    pub(super) fn below(&self, bound: f64) -> f64 {
        self.0.borrow_mut().random_range(0.0..bound)
    }
}
