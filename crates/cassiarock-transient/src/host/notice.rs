//! What an upstream announces of its time: when it ends, for upstreams replaced at short notice, and
//! when it is as fast as usual, for upstreams that start cold.

use super::worker::Worker;
use crate::message::Upstream;
use crate::timing::MAX_NOTICE;
use std::time::Duration;

/// Entries are told again of a time that has changed by this much. They check what depends on it
/// every 20 ms.
const TOLERANCE: Duration = Duration::from_millis(20);

/// The announced times of one incarnation of the upstream, on the agent's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Notices {
    /// When everything on the upstream terminates at the earliest.
    ends_at: Option<Duration>,
    /// When it is warm.
    warm_at: Option<Duration>,
}

impl Notices {
    /// The times that a report of a new incarnation announces.
    pub(super) fn of(worker: &Worker, now: Duration) -> Self {
        Self::default().after(worker, now)
    }

    /// The times after a later report of the same incarnation. One that leaves out a time has not
    /// withdrawn it. Small differences are the delay of the reports.
    pub(super) fn after(self, worker: &Worker, now: Duration) -> Self {
        let at = |left: Duration| now + left.min(MAX_NOTICE);
        let told = worker.remaining.map(at).or(self.ends_at);
        let ends_at = told.filter(|_| worker.is_leaving);
        let warm_at = match (worker.cold_remaining, self.warm_at) {
            (Some(Duration::ZERO), known) => known.map(|known| known.min(now)),
            (Some(left), known) => keep_similar(known, Some(at(left))),
            (None, known) => known,
        };
        Self {
            ends_at: keep_similar(self.ends_at, ends_at),
            warm_at,
        }
    }

    pub(super) fn is_cold(self, now: Duration) -> bool {
        self.warm_at.is_some_and(|warm_at| now < warm_at)
    }

    /// Whether a run that began at `since` shows how fast the upstream is now: one that began while
    /// it was cold shows nothing once it is warm.
    pub(super) fn is_telling(self, since: Duration, now: Duration) -> bool {
        self.is_cold(now) || !self.is_cold(since)
    }

    /// Whether entries have to be told of the change from `before`. A time that has passed needs no
    /// withdrawal.
    pub(super) fn is_news_after(self, before: Self, now: Duration) -> bool {
        let cold_until = |notices: Self| notices.warm_at.filter(|at| *at > now);
        self.ends_at != before.ends_at || cold_until(self) != cold_until(before)
    }

    /// The description of the upstream with the times that are left.
    pub(super) fn describe(self, upstream: Upstream, now: Duration) -> Upstream {
        let left = |at: Duration| at.saturating_sub(now);
        Upstream {
            remaining: self.ends_at.map(left),
            cold_remaining: self.warm_at.map(left),
            ..upstream
        }
    }
}

/// The time announced before if the new one is about the same.
fn keep_similar(before: Option<Duration>, new: Option<Duration>) -> Option<Duration> {
    match (before, new) {
        (Some(before), Some(new)) if before.abs_diff(new) <= TOLERANCE => Some(before),
        _ => new,
    }
}
