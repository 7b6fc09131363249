//! A version of `src/guard.rs` in which one check at a time can be switched off.

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
    Membership,
    Constancy,
    Authority,
    HandOver,
}

thread_local! {
    static SWITCHED_OFF: Cell<Option<Check>> = const { Cell::new(None) };
}

/// Switches `check` off in this thread, and every other check on.
pub fn switch_off(check: Option<Check>) {
    SWITCHED_OFF.set(check);
}

fn is_off(check: Check) -> bool {
    SWITCHED_OFF.get() == Some(check)
}

pub(crate) fn passes_fence(ballot: &Ballot, fence: &Ballot) -> bool {
    is_off(Check::Fence) || ballot >= fence
}

pub(crate) fn is_same_attempt(asked: &Ballot, granted: &Ballot) -> bool {
    is_off(Check::Attempt) || asked.same_owner(granted)
}

pub(crate) fn is_gather_complete(missing: usize) -> bool {
    is_off(Check::Gather) || missing == 0
}

pub(crate) fn is_same_view(asked: u64, own: u64) -> bool {
    is_off(Check::Version) || asked == own
}

pub(crate) fn is_sole_keeper(sole_keeper: bool) -> bool {
    is_off(Check::Version) || sole_keeper
}

pub(crate) fn is_newer_start(start: (&Ballot, u32), void: (&Ballot, u32)) -> bool {
    is_off(Check::Repeat) || start > void
}

pub(crate) fn is_keeper(excluded: bool) -> bool {
    !is_off(Check::Keeper) && excluded
}

pub(crate) fn has_witness(witnessed: bool) -> bool {
    is_off(Check::Witness) || witnessed
}

pub(crate) fn is_current_view(fence: u64, seen: u64) -> bool {
    is_off(Check::View) || fence >= seen
}

pub(crate) fn is_member_since(joined: u64, since: u64) -> bool {
    is_off(Check::Membership) || joined <= since
}

pub(crate) fn had_one_keeper(constant: bool) -> bool {
    is_off(Check::Constancy) || constant
}

pub(crate) fn has_authority(has: bool) -> bool {
    is_off(Check::Authority) || has
}

pub(crate) fn is_handed_over(handed: bool) -> bool {
    !is_off(Check::HandOver) && handed
}
