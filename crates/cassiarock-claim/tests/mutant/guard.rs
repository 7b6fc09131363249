//! `src/guard.rs` with one check switched off at a time.

use crate::Ballot;
use std::cell::Cell;

/// A check that can be switched off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Check {
    Fence,
    Attempt,
    Gather,
    Version,
    Repeat,
    Keeper,
    Witness,
    View,
    Birth,
    Constancy,
    Authority,
    Handed,
}

thread_local! {
    static OFF: Cell<Option<Check>> = const { Cell::new(None) };
}

/// Switches `check` off in this thread.
pub fn switch_off(check: Option<Check>) {
    OFF.set(check);
}

fn off(check: Check) -> bool {
    OFF.get() == Some(check)
}

pub(crate) fn passes_fence(ballot: &Ballot, fence: &Ballot) -> bool {
    off(Check::Fence) || ballot >= fence
}

pub(crate) fn is_same_attempt(asked: &Ballot, granted: &Ballot) -> bool {
    off(Check::Attempt) || asked.same_owner(granted)
}

pub(crate) fn is_gather_complete(missing: usize) -> bool {
    off(Check::Gather) || missing == 0
}

pub(crate) fn is_same_view(asked: u64, own: u64) -> bool {
    off(Check::Version) || asked == own
}

pub(crate) fn is_sole_keeper(sole_keeper: bool) -> bool {
    off(Check::Version) || sole_keeper
}

pub(crate) fn is_newer_start(start: (&Ballot, u32), void: (&Ballot, u32)) -> bool {
    off(Check::Repeat) || start > void
}

pub(crate) fn is_keeper(named: bool) -> bool {
    !off(Check::Keeper) && named
}

pub(crate) fn has_witness(closed: bool) -> bool {
    off(Check::Witness) || closed
}

pub(crate) fn is_current_view(fence: u64, seen: u64) -> bool {
    off(Check::View) || fence >= seen
}

pub(crate) fn is_member_since(joined: u64, since: u64) -> bool {
    off(Check::Birth) || joined <= since
}

pub(crate) fn had_one_keeper(constant: bool) -> bool {
    off(Check::Constancy) || constant
}

pub(crate) fn has_authority(has: bool) -> bool {
    off(Check::Authority) || has
}

pub(crate) fn is_handed_over(handed: bool) -> bool {
    !off(Check::Handed) && handed
}
