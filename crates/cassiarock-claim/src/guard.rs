//! The comparisons that the protocol's safety rests on, each in one place.
//!
//! The mutant tests compile the package's sources a second time with another version of
//! this module, in which one check can be switched off. Shipped builds hold only this one.

use crate::Ballot;

/// The fence: an agent lets nothing below the highest ballot start.
pub(crate) fn above_fence(ballot: &Ballot, fence: &Ballot) -> bool {
    ballot >= fence
}

/// The attempt check: a keeper repeats a grant to the owner that holds it, to no other.
pub(crate) fn same_attempt(asked: &Ballot, granted: &Ballot) -> bool {
    asked.same_owner(granted)
}

/// The version check: where the keepers differ, entry and keeper hold the same view.
pub(crate) const fn same_view(asked: u64, own: u64) -> bool {
    asked == own
}

/// The sole-keeper check: a keeper grants without a gather only where no keeper of another
/// version can have done so.
pub(crate) const fn sole_keeper(sole_keeper: bool) -> bool {
    sole_keeper
}

/// The repeat check: a start that was once rejected stays rejected.
pub(crate) fn newer_start(start: (&Ballot, u32), void: (&Ballot, u32)) -> bool {
    start > void
}

/// The keeper rule: a keeper runs no tasks of the jobs that it keeps.
pub(crate) const fn is_keeper(named: bool) -> bool {
    named
}

/// The gather: above the first round nothing starts before every agent has reported.
pub(crate) const fn gather_whole(missing: usize) -> bool {
    missing == 0
}

/// The witness: a closed claim is proof only once an agent outside the keeper holds it.
pub(crate) const fn witnessed(closed: bool) -> bool {
    closed
}

/// The view check: agents let nobody gather by a membership older than they know of.
pub(crate) const fn current_view(fence: u64, seen: u64) -> bool {
    fence >= seen
}

/// The birth rule: a granted job's tasks start only at members since the job's birth.
pub(crate) const fn member_since(joined: u64, since: u64) -> bool {
    joined <= since
}

/// The keeper's constancy: only one keeper in the whole life of a job may grant it
/// without a gather, or be missing from one.
pub(crate) const fn one_keeper(constant: bool) -> bool {
    constant
}

/// The authority: an entry out of touch with a majority may not claim without a gather.
pub(crate) const fn has_authority(has: bool) -> bool {
    has
}

/// The end of a ledger: after its hand-over it accepts no fence.
pub(crate) const fn handed_over(handed: bool) -> bool {
    handed
}
