//! The upstream's clock and how far its leases reach.

use super::millis;
use crate::timing::{LEASE, STOP_MARGIN};
use std::time::Duration;

/// The upstream's clock may be this much slow.
const MIN_CLOCK_RATE: f64 = 0.98;

/// A reading this far behind the guess, in milliseconds, tells another clock; a slow clock
/// falls behind by 12 ms between two renewals.
const MAX_CLOCK_LAG_MS: u64 = 100;

/// An upstream that has answered nothing for this long gets nothing new and is not renewed:
/// four polls in a row, at 80 ms each if unanswered, have been missed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(350);

/// What is known of the upstream's clock and of the renewals.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lease {
    /// The clock as last heard, and when. An answer takes time, so the clock is ahead of this
    /// by that time: a lease counted from it is rather too short than too long.
    last_reading: (u64, Duration),
    /// When the last answer came.
    last_answer: Duration,
    /// The furthest time that any renewal has asked for, on the upstream's clock. A renewal
    /// names a point in time, so one that is carried out late lengthens nothing.
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

    /// Takes a reading of the upstream's clock. Answers may overtake each other, so only a
    /// reading ahead of the present guess counts.
    pub(super) fn record_clock(&mut self, clock: Option<u64>, now: Duration) {
        let Some(clock) = clock else {
            return;
        };
        self.last_answer = now;
        let guess = self.clock(now, 1.0);
        if clock > guess || clock + MAX_CLOCK_LAG_MS < guess {
            self.last_reading = (clock, now);
        }
    }

    /// Until when a lease reaches that is renewed now.
    pub(super) fn renew(&mut self, now: Duration) -> u64 {
        let until = self.clock(now, 1.0) + millis(LEASE);
        self.latest_expiry = self.latest_expiry.max(until);
        until
    }

    /// Whether the upstream has not answered for too long.
    pub(super) fn is_silent(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_answer) > SILENCE_TIMEOUT
    }

    /// Whether everything on the upstream has ended for want of renewal.
    pub(super) fn has_lapsed(&self, now: Duration) -> bool {
        self.clock(now, MIN_CLOCK_RATE) > self.latest_expiry + millis(STOP_MARGIN)
    }

    /// The upstream's clock now, if it runs at this rate.
    fn clock(&self, now: Duration, rate: f64) -> u64 {
        let (clock, at) = self.last_reading;
        clock + millis(now.saturating_sub(at).mul_f64(rate))
    }
}
