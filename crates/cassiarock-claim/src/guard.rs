//! The checks on which the protocol's safety depends, each in one place.
//!
//! The mutant tests compile the package's sources a second time with another version of
//! this module, in which one check can be switched off. Shipped builds contain only this
//! version.

use crate::Ballot;

/// Fence: an agent starts nothing under a ballot below the highest one it has seen.
pub(crate) fn passes_fence(ballot: &Ballot, fence: &Ballot) -> bool {
    ballot >= fence
}

/// Attempt: a keeper repeats a grant only to the owner that holds it.
pub(crate) fn is_same_attempt(asked: &Ballot, granted: &Ballot) -> bool {
    asked.same_owner(granted)
}

/// Version: an agent that is not the keeper in its own view answers only requests made
/// under that same view.
pub(crate) const fn is_same_view(asked: u64, own: u64) -> bool {
    asked == own
}

/// Version: a keeper grants without a gather only where no keeper of another version can
/// have granted the job.
pub(crate) const fn is_sole_keeper(sole_keeper: bool) -> bool {
    sole_keeper
}

/// Repeat: a start that was rejected once stays rejected.
pub(crate) fn is_newer_start(start: (&Ballot, u32), void: (&Ballot, u32)) -> bool {
    start > void
}

/// Keeper: an excluded keeper runs no tasks of the job.
pub(crate) const fn is_keeper(excluded: bool) -> bool {
    excluded
}

/// Gather: above the first round nothing starts before every agent has reported.
pub(crate) const fn is_gather_complete(missing: usize) -> bool {
    missing == 0
}

/// Witness: a closed claim proves that nothing ran only once an agent other than the
/// keeper has recorded it.
pub(crate) const fn has_witness(witnessed: bool) -> bool {
    witnessed
}

/// View: an agent rejects fences planned by an older membership than it knows of.
pub(crate) const fn is_current_view(fence: u64, seen: u64) -> bool {
    fence >= seen
}

/// Membership: tasks start only at agents that have been members since `since`, which for
/// a granted job is the oldest view under which it can have been started.
pub(crate) const fn is_member_since(joined: u64, since: u64) -> bool {
    joined <= since
}

/// Constancy: a keeper may grant a job without a gather, or be exempt from one, only if
/// it was the job's keeper in every view of the job's lifetime.
pub(crate) const fn had_one_keeper(constant: bool) -> bool {
    constant
}

/// Authority: an entry that has lost contact with a majority of its view may not claim
/// without a gather.
pub(crate) const fn has_authority(has: bool) -> bool {
    has
}

/// Hand-over: a ledger that was handed over accepts no fence.
pub(crate) const fn is_handed_over(handed: bool) -> bool {
    handed
}
