//! Keeps the operators' orders fresh at all entries with few reads of the store.
//!
//! A read of the store waits for the next record, so an entry that hears nothing cannot tell whether
//! nothing was ordered or its read is lost: a store, balancer or middlebox may have forgotten the
//! request while its system still acknowledges the connection. A record ends the waiting reads of
//! all entries at once, so all of them can be lost together, and then no entry has a copy to send.
//!
//! So each entry knows when the store last proved that its orders are complete: when it answered
//! the entry's own read, or another entry's, which heartbeats report. One entry reads with short
//! waits and proves it for all that it is linked to, directly or through others. An entry that has
//! seen no proof for too long gives up its waiting read, asks the store at once, and goes on with
//! short waits.

use cassiarock_id::Process;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a read waits for a record while other entries prove that the orders are complete. The
/// platform charges a waiting read as a call.
pub const LONG_WAIT: Duration = Duration::from_secs(20);

/// How long a read of an entry waits that proves it for others; up to a quarter longer, so that
/// two such entries read at different times and notice each other.
const SHORT_WAIT: Duration = Duration::from_millis(700);

/// The age of a proof at which a waiting read is given up. Operators allow 2 s for a change, and an
/// entry has 3 s to recover from a disturbance. Two reads with short waits fit into it.
const OVERDUE: Duration = Duration::from_millis(1_500);

/// The longest random delay before a read is given up, so that the first entry to do so spares the
/// others the same.
const MAX_JITTER: Duration = Duration::from_millis(300);

/// Two proofs this close count as one, since its age grows by the round-trip time at each hop.
const SAME_PROOF: Duration = Duration::from_millis(200);

/// The most hops that a proof travels. Entries with six links each reach 600 others in four hops.
const MAX_HOPS: u8 = 8;

/// The age of an entry's newest proof, as heartbeats report it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Time since the store answered, in milliseconds.
    pub age_ms: u32,
    /// The number of entries that it was reported through; 0 for the sender's own read.
    pub hops: u8,
    /// The receiver's clock in milliseconds, as the sender last received it, plus the time since
    /// then; `None` if the sender has not received it.
    #[serde(default, rename = "echo", skip_serializing_if = "Option::is_none")]
    pub echo_ms: Option<u64>,
    /// The sender's clock in milliseconds.
    #[serde(default, rename = "clock")]
    pub clock_ms: u64,
}

/// The clocks of other entries as their heartbeats report them, to be echoed.
///
/// A report waits in queues and sockets on its way, for hundreds of milliseconds at entries that are
/// short of processor time, and its age does not include that. The time since the receiver sent the
/// clock that is echoed to it, less the time for which the sender held it, is an upper bound.
#[derive(Clone, Debug, Default)]
pub struct Clocks(BTreeMap<Process, Clock>);

/// A clock of another entry and when it was received.
#[derive(Clone, Copy, Debug)]
struct Clock {
    reading_ms: u64,
    received_at: Duration,
}

impl Clocks {
    /// Creates an empty set of clocks.
    ///
    /// ```
    /// use cassiarock_transient::freshness::{Clocks, Report};
    /// use std::time::Duration;
    /// let mut clocks = Clocks::new();
    /// let other = cassiarock_id::Process::new("entry-2", 1);
    /// clocks.record(&other, 7_000, Duration::from_millis(100));
    /// let report = clocks.stamp(Report::default(), &other, Duration::from_millis(140));
    /// assert_eq!(report.echo_ms, Some(7_040));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the clock in a heartbeat of another entry.
    pub fn record(&mut self, other: &Process, reading_ms: u64, now: Duration) {
        let received_at = now;
        let clock = Clock {
            reading_ms,
            received_at,
        };
        self.0.insert(other.clone(), clock);
    }

    /// Adds this entry's clock and the echo of the receiver's to a report.
    #[must_use]
    pub fn stamp(&self, report: Report, receiver: &Process, now: Duration) -> Report {
        let echo = self.0.get(receiver).map(|clock| {
            let held = millis(now.saturating_sub(clock.received_at));
            clock.reading_ms.saturating_add(held)
        });
        Report {
            echo_ms: echo,
            clock_ms: millis(now),
            ..report
        }
    }

    /// Forgets the clock of an entry whose link was lost.
    pub fn forget(&mut self, other: &Process) {
        self.0.remove(other);
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// When the operators' orders were last known to be complete, and how to read on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Freshness {
    proof: Option<Proof>,
    /// Whether this entry reads with short waits.
    is_watching: bool,
    /// Whether the next read must not wait.
    is_suspect: bool,
    /// Whether another entry has an order that the waiting read has not returned.
    has_missed: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Proof {
    at: Duration,
    hops: u8,
}

impl Freshness {
    /// Creates the state of an entry that has read nothing yet.
    ///
    /// ```
    /// use cassiarock_transient::freshness::{Freshness, LONG_WAIT};
    /// use std::time::Duration;
    /// let mut freshness = Freshness::new();
    /// freshness.record_answer(Duration::ZERO);
    /// assert_eq!(freshness.read_wait(0.5), LONG_WAIT);
    /// freshness.record_failure();
    /// assert_eq!(freshness.read_wait(0.5), Duration::ZERO);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the store answered a read at the time `at` or later, which it does only with all
    /// orders so far.
    ///
    /// Of two entries with short waits, the one whose answer follows the other's more closely goes
    /// back to long waits.
    pub fn record_answer(&mut self, at: Duration) {
        let is_redundant = self
            .proof
            .is_some_and(|proof| proof.hops > 0 && at.saturating_sub(proof.at) < SHORT_WAIT / 2);
        if is_redundant {
            self.is_watching = false;
        }
        self.is_suspect = false;
        self.has_missed = false;
        self.proof = Some(Proof { at, hops: 0 });
    }

    /// Records that a read failed or was given up.
    pub const fn record_failure(&mut self) {
        self.is_watching = true;
        self.is_suspect = true;
        self.has_missed = false;
    }

    /// Records that another entry has an order that the store has not sent in time, so that the
    /// waiting read is probably lost. Copies from that entry would hide it until that entry is lost
    /// as well. A read that is being repeated already goes on.
    ///
    /// ```
    /// use cassiarock_transient::freshness::Freshness;
    /// use std::time::Duration;
    /// let mut freshness = Freshness::new();
    /// freshness.record_answer(Duration::from_secs(7));
    /// freshness.record_missed();
    /// assert_eq!(freshness.overdue_at(0.5), Some(Duration::ZERO));
    /// ```
    pub const fn record_missed(&mut self) {
        self.has_missed = !self.is_suspect;
    }

    /// Records the report of another entry that has the same orders in force. A report without an
    /// echo proves nothing: it may have been on its way for any time.
    pub fn record_report(&mut self, report: Report, now: Duration) {
        let Some(echo_ms) = report.echo_ms else {
            return;
        };
        let transit = now.saturating_sub(Duration::from_millis(echo_ms));
        let age = Duration::from_millis(report.age_ms.into());
        let at = now.saturating_sub(age.saturating_add(transit));
        let hops = report.hops.saturating_add(1);
        if hops > MAX_HOPS {
            return;
        }
        let is_better = self.proof.is_none_or(|known| {
            let is_later = at > known.at + SAME_PROOF;
            let is_more_direct = at + SAME_PROOF >= known.at && hops < known.hops;
            is_later || is_more_direct
        });
        if is_better {
            self.proof = Some(Proof { at, hops });
        }
    }

    /// What to report to other entries, without the clocks that [`Clocks::stamp`] adds.
    #[must_use]
    pub fn report(&self, now: Duration) -> Option<Report> {
        let proof = self.proof?;
        let age_ms = u32::try_from(now.saturating_sub(proof.at).as_millis());
        Some(Report {
            age_ms: age_ms.unwrap_or(u32::MAX),
            hops: proof.hops,
            ..Report::default()
        })
    }

    /// The age of the newest proof.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let proof = self.proof?;
        Some(now.saturating_sub(proof.at))
    }

    /// How long the next read is to wait for a record, with a `draw` from 0 up to 1.
    #[must_use]
    pub fn read_wait(&self, draw: f64) -> Duration {
        if self.is_suspect || self.proof.is_none() {
            Duration::ZERO
        } else if self.is_watching {
            SHORT_WAIT.mul_f64(1.0 + draw.clamp(0.0, 1.0) / 4.0)
        } else {
            LONG_WAIT
        }
    }

    /// When a waiting read is to be given up unless a new proof arrives, with a `draw` from 0 up to
    /// 1; `None` for reads that wait only for a short time and are not known to have missed an order.
    #[must_use]
    pub fn overdue_at(&self, draw: f64) -> Option<Duration> {
        if self.has_missed {
            return Some(Duration::ZERO);
        }
        if self.is_watching {
            return None;
        }
        let proof = self.proof?;
        Some(proof.at + OVERDUE + MAX_JITTER.mul_f64(draw.clamp(0.0, 1.0)))
    }
}
