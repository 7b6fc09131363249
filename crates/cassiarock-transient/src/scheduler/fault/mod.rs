//! Upstreams that crash, fail, turn slow, leave or are lost, and the tasks on them.

pub(super) mod crash;
mod eject;
mod leaving;
mod lost;
mod outlook;
mod overdue;
pub(super) mod pace;
