//! What the entry knows of one upstream.

use super::upstream::Upstream;
use crate::load::LoadReport;
use crate::{Due, PlacementPolicy};
use std::time::Duration;

/// The load of one upstream as last heard, corrected by the entry's own starts since.
#[derive(Debug)]
pub(super) struct View {
    pub(super) upstream: Upstream,
    pub(super) leaving: bool,
    /// Share of its slots to be used, in 1/256; lowered while it looks faulty.
    pub(super) weight: u16,
    pub(super) near: bool,
    pub(super) load: LoadReport,
    pub(super) heard_at: Option<Duration>,
    /// When a task was last sent.
    pub(super) sent_at: Option<Duration>,
    pub(super) credit: u16,
    pub(super) credit_at: Duration,
    /// Slots that this entry has asked for and not been given.
    pub(super) asked: u16,
    /// The round of demands to which `asked` belongs.
    pub(super) round: u64,
    /// Tasks sent on this connection, modulo 2^32.
    pub(super) sent: u32,
    /// When the tasks are due that were sent and whose end is not known.
    pub(super) outstanding: Vec<Due>,
}

/// The full weight of a healthy upstream.
pub(super) const FULL_WEIGHT: u16 = 256;

impl View {
    pub(super) fn new(upstream: Upstream, near: bool) -> Self {
        let open = upstream.slots;
        Self {
            upstream,
            leaving: false,
            weight: FULL_WEIGHT,
            near,
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

    pub(super) fn usable(&self) -> bool {
        !self.leaving && self.weight > 0
    }

    /// Takes in a load report. Reports arrive in order on a connection.
    pub(super) fn hear(&mut self, load: LoadReport, now: Duration) {
        self.credit = self.credit.saturating_add(load.credit);
        if load.credit > 0 {
            self.credit_at = now;
        }
        self.load = load;
        self.heard_at = Some(now);
    }

    pub(super) fn start(&mut self, due: Due, now: Duration) {
        self.sent_at = Some(now);
        self.credit = self.credit.saturating_sub(1);
        self.sent = self.sent.wrapping_add(1);
        self.outstanding.push(due);
    }

    pub(super) fn land(&mut self, due: Due) {
        let found = self.outstanding.iter().position(|other| *other == due);
        if let Some(at) = found {
            self.outstanding.swap_remove(at);
        }
    }

    /// Whether there is neither recent news nor any on the way.
    pub(super) fn is_stale(&self, now: Duration, stale: Duration) -> bool {
        let last = self.heard_at.max(self.sent_at);
        last.is_none_or(|last| now.saturating_sub(last) >= stale)
    }

    /// Starts that were under way when the last report was written.
    fn unseen(&self) -> i64 {
        i64::from(self.sent.wrapping_sub(self.load.seen))
    }

    /// How many more tasks fit, by what is known; negative if it is overbooked.
    pub(super) fn room(&self, kind: PlacementPolicy, bound: u16) -> i64 {
        if !self.usable() {
            return 0;
        }
        let room = match kind {
            PlacementPolicy::Random if self.believed() >= i64::from(bound) => 0,
            PlacementPolicy::Random => i64::from(bound) - self.sent_out(),
            PlacementPolicy::TwoChoices => i64::from(bound) - self.believed(),
            PlacementPolicy::Probes => i64::from(self.credit),
            PlacementPolicy::Credits => self.free(),
        };
        room.min(self.cap(bound) - self.sent_out())
    }

    /// Free slots. Starts under way count against the open slots even if they use
    /// credits: that errs to the safe side, for one round trip.
    fn free(&self) -> i64 {
        i64::from(self.credit) + self.open().max(0)
    }

    /// Open slots; negative by the number of own tasks that wait there.
    pub(super) fn open(&self) -> i64 {
        i64::from(self.load.open) - i64::from(self.load.own) - self.unseen()
    }

    /// Places for a task due at `due`, if those of own tasks that are due later do not
    /// count: the task will pass them in the upstream's queue.
    pub(super) fn room_before(&self, due: Due, ahead: u16) -> i64 {
        let later = self.outstanding.iter().filter(|other| **other > due);
        let waiting = (-self.open()).max(0);
        let earlier = (waiting - i64::try_from(later.count()).unwrap_or(0)).max(0);
        // Behind a slow upstream's slots tasks wait longest, so it gets none ahead as soon
        // as it has lost part of its share.
        if self.weight < FULL_WEIGHT {
            return 0;
        }
        i64::from(ahead) - earlier
    }

    fn sent_out(&self) -> i64 {
        i64::try_from(self.outstanding.len()).unwrap_or(i64::MAX)
    }

    /// Tasks believed to run or wait there.
    pub(super) fn believed(&self) -> i64 {
        let busy = i64::from(self.upstream.slots) - i64::from(self.load.open);
        busy + i64::from(self.load.queued) + self.unseen()
    }

    /// The most tasks of this entry that its weight lets it have at once.
    fn cap(&self, bound: u16) -> i64 {
        if self.weight >= FULL_WEIGHT {
            return i64::from(bound);
        }
        let share = u32::from(self.upstream.slots) * u32::from(self.weight);
        i64::from(share.div_ceil(u32::from(FULL_WEIGHT)))
    }
}
