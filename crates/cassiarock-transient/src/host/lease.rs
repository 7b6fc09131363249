//! The upstream's clock and the expiry of its leases.

use super::millis;
use crate::timing::{LEASE, STOP_MARGIN};
use std::time::Duration;

/// The lowest rate at which the upstream's clock may run.
const MIN_CLOCK_RATE: f64 = 0.98;

/// A reading this many milliseconds behind the estimate is from another clock; a slow clock falls
/// behind by 12 ms between two renewals.
const MAX_CLOCK_LAG_MS: u64 = 100;

/// An upstream that has not answered for this long gets no new tasks and no renewals: it has missed
/// four polls in a row, each of which takes 80 ms if unanswered.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(350);

/// The longest lease that an upstream grants, whatever is asked for.
const MAX_LEASE: Duration = Duration::from_secs(1);

/// The estimate of the upstream's clock, and the lease renewals.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lease {
    /// The last clock reading and when it arrived. A response takes time, so the clock is ahead of
    /// the estimate by that time: a lease counted from it is too short rather than too long.
    last_reading: (u64, Duration),
    /// When the last response arrived.
    last_answer: Duration,
    /// The latest time on the upstream's clock that any renewal has asked for. A renewal names an
    /// absolute time, so one that is carried out late extends nothing.
    latest_expiry: u64,
}

impl Lease {
    pub(super) const fn new(clock: u64, now: Duration) -> Self {
        Self {
            last_reading: (clock, now),
            last_answer: now,
            latest_expiry: clock,
        }
    }

    /// Records a reading of the upstream's clock. Responses may overtake each other, so a reading
    /// counts only if it is ahead of the estimate, or so far behind it that it is from another
    /// clock.
    pub(super) fn record_clock(&mut self, clock: Option<u64>, now: Duration) {
        let Some(clock) = clock else {
            return;
        };
        self.last_answer = now;
        let guess = self.clock(now, 1.0);
        if clock > guess || clock.saturating_add(MAX_CLOCK_LAG_MS) < guess {
            self.last_reading = (clock, now);
        }
    }

    /// The estimate of the upstream's clock now, which is at most a response's time behind it.
    pub(super) fn estimate(&self, now: Duration) -> u64 {
        self.clock(now, 1.0)
    }

    /// Renews the leases and returns their expiry on the upstream's clock.
    pub(super) fn renew(&mut self, now: Duration) -> u64 {
        let until = self.full(now);
        self.record_request(until);
        until
    }

    /// The expiry of a full lease from now on, on the upstream's clock.
    pub(super) fn full(&self, now: Duration) -> u64 {
        self.clock(now, 1.0).saturating_add(millis(LEASE))
    }

    /// Records that leases until this time on the upstream's clock are asked for.
    pub(super) fn record_request(&mut self, until: u64) {
        self.latest_expiry = self.latest_expiry.max(until);
    }

    /// Records that tasks may hold leases that this agent has not asked this incarnation for: orders by
    /// the clock of the former one, or of an earlier process of the agent.
    pub(super) fn record_foreign_lease(&mut self, clock: u64) {
        self.record_request(clock.saturating_add(millis(MAX_LEASE)));
    }

    /// The latest expiry that was asked for, on the upstream's clock.
    pub(super) const fn expiry(&self) -> u64 {
        self.latest_expiry
    }

    /// How long everything that runs keeps its lease without a renewal.
    pub(super) fn left(&self, now: Duration) -> Duration {
        Duration::from_millis(self.latest_expiry.saturating_sub(self.clock(now, 1.0)))
    }

    /// Whether the upstream has not answered for too long.
    pub(super) fn is_silent(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_answer) > SILENCE_TIMEOUT
    }

    /// Whether a response has arrived after this time.
    pub(super) fn has_answered_after(&self, at: Duration) -> bool {
        self.last_answer > at
    }

    /// Whether all leases have expired by now, even on the slowest clock allowed.
    pub(super) fn has_lapsed(&self, now: Duration) -> bool {
        let ended = self.latest_expiry.saturating_add(millis(STOP_MARGIN));
        self.clock(now, MIN_CLOCK_RATE) > ended
    }

    /// The estimate of the upstream's clock now, if it runs at this rate.
    fn clock(&self, now: Duration, rate: f64) -> u64 {
        let (clock, at) = self.last_reading;
        clock.saturating_add(millis(now.saturating_sub(at).mul_f64(rate)))
    }
}
