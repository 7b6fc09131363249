//! Which jobs are admitted, in which order they are placed, and when they are refused.

mod admit;
pub(super) mod cause;
pub(super) mod expectation;
mod expire;
pub(super) mod patience;
pub(super) mod rank;
pub(super) mod reserve;
mod shutdown;
mod start;
