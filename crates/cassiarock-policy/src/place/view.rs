//! The state of one upstream as an entry sees it.

use super::upstream::Upstream;
use crate::load::LoadReport;
use crate::{Due, PlacementPolicy};
use std::time::Duration;

/// The last reported load of one upstream, corrected by the entry's own starts since.
#[derive(Debug)]
pub(super) struct View {
    pub(super) upstream: Upstream,
    pub(super) leaving: bool,
    /// The share of its slots that may be used, in 1/256; lowered while it seems faulty.
    pub(super) weight: u16,
    /// Whether it is in the entry's data centre.
    pub(super) is_local: bool,
    pub(super) load: LoadReport,
    /// When `load` was received.
    pub(super) heard_at: Option<Duration>,
    /// When a task was last sent.
    pub(super) sent_at: Option<Duration>,
    pub(super) credit: u16,
    pub(super) credit_at: Duration,
    /// Slots that this entry has demanded and not been granted.
    pub(super) asked: u16,
    /// The round of demands to which `asked` belongs.
    pub(super) round: u64,
    /// Tasks sent on this connection, modulo 2^32.
    pub(super) sent: u32,
    /// The due times of the tasks that were sent and whose end is not known.
    pub(super) outstanding: Vec<Due>,
}

/// The weight of an upstream that may use all its slots.
pub(super) const FULL_WEIGHT: u16 = 256;

impl View {
    pub(super) fn new(upstream: Upstream, is_local: bool) -> Self {
        let open = upstream.slots;
        Self {
            upstream,
            leaving: false,
            weight: FULL_WEIGHT,
            is_local,
            load: LoadReport {
                open,
                ..LoadReport::default()
            },
            heard_at: None,
            sent_at: None,
            credit: 0,
            credit_at: Duration::ZERO,
            asked: 0,
            round: 0,
            sent: 0,
            outstanding: Vec::new(),
        }
    }

    pub(super) fn is_usable(&self) -> bool {
        !self.leaving && self.weight > 0
    }

    /// Applies a load report. A connection delivers reports in order.
    pub(super) fn apply_report(&mut self, load: LoadReport, now: Duration) {
        self.credit = self.credit.saturating_add(load.credit);
        if load.credit > 0 {
            self.credit_at = now;
        }
        self.load = load;
        self.heard_at = Some(now);
    }

    pub(super) fn record_start(&mut self, due: Due, now: Duration) {
        self.sent_at = Some(now);
        self.credit = self.credit.saturating_sub(1);
        self.sent = self.sent.wrapping_add(1);
        self.outstanding.push(due);
    }

    pub(super) fn record_end(&mut self, due: Due) {
        let found = self.outstanding.iter().position(|other| *other == due);
        if let Some(at) = found {
            self.outstanding.swap_remove(at);
        }
    }

    /// Whether no report came within `load_max_age`, and no task was sent that would bring
    /// one.
    pub(super) fn is_stale(&self, now: Duration, load_max_age: Duration) -> bool {
        let last = self.heard_at.max(self.sent_at);
        last.is_none_or(|last| now.saturating_sub(last) >= load_max_age)
    }

    /// Starts that the last report does not count yet.
    fn unseen_starts(&self) -> i64 {
        i64::from(self.sent.wrapping_sub(self.load.seen))
    }

    /// How many more tasks seem to fit; negative if the upstream is overbooked.
    pub(super) fn room(&self, policy: PlacementPolicy, max_outstanding: u16) -> i64 {
        if !self.is_usable() {
            return 0;
        }
        let room = match policy {
            PlacementPolicy::Random if self.estimated_load() >= i64::from(max_outstanding) => 0,
            PlacementPolicy::Random => i64::from(max_outstanding) - self.outstanding_count(),
            PlacementPolicy::TwoChoices => i64::from(max_outstanding) - self.estimated_load(),
            PlacementPolicy::Probes => i64::from(self.credit),
            PlacementPolicy::Credits => self.free_slots(),
        };
        room.min(self.share_limit(max_outstanding) - self.outstanding_count())
    }

    /// Slots that a task may use at once. Starts that are not reported yet count against
    /// the open slots even if they use credits; this underestimates for one round trip.
    fn free_slots(&self) -> i64 {
        i64::from(self.credit) + self.open_slots().max(0)
    }

    /// Open slots minus the entry's own tasks that wait there or are not reported yet.
    pub(super) fn open_slots(&self) -> i64 {
        i64::from(self.load.open) - i64::from(self.load.own) - self.unseen_starts()
    }

    /// How many tasks due at `due` may still be sent ahead of free slots. Own tasks that
    /// are due later do not count: the upstream's queue serves them afterwards.
    pub(super) fn prefetch_room(&self, due: Due, prefetch: u16) -> i64 {
        let later = self.outstanding.iter().filter(|other| **other > due);
        let waiting = (-self.open_slots()).max(0);
        let earlier = (waiting - i64::try_from(later.count()).unwrap_or(0)).max(0);
        // Tasks wait longest for the slots of a slow upstream, so none is sent ahead to one
        // that has lost part of its share.
        if self.weight < FULL_WEIGHT {
            return 0;
        }
        i64::from(prefetch) - earlier
    }

    fn outstanding_count(&self) -> i64 {
        i64::try_from(self.outstanding.len()).unwrap_or(i64::MAX)
    }

    /// Estimated number of tasks that run or wait there.
    pub(super) fn estimated_load(&self) -> i64 {
        let busy = i64::from(self.upstream.slots) - i64::from(self.load.open);
        busy + i64::from(self.load.queued) + self.unseen_starts()
    }

    /// How many tasks of this entry its weight lets it have at once.
    fn share_limit(&self, max_outstanding: u16) -> i64 {
        if self.weight >= FULL_WEIGHT {
            return i64::from(max_outstanding);
        }
        let share = u32::from(self.upstream.slots) * u32::from(self.weight);
        i64::from(share.div_ceil(u32::from(FULL_WEIGHT)))
    }
}
