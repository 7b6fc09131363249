//! Upstreams that crash, fail, turn slow or are lost, and the tasks on them.

pub(super) mod crash;
mod eject;
mod lost;
mod overdue;
pub(super) mod pace;
