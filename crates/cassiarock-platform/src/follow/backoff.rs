//! The wait before the next retry.

use std::time::Duration;

/// The first wait is at most this long in a small system.
const FIRST: Duration = Duration::from_millis(250);
/// Upper limit of a wait. A change has to be in force within 17 s, also one that was made while
/// the log was coming back.
const LONGEST: Duration = Duration::from_secs(12);
/// The mean rate of calls that all processes together aim at; with random peaks it stays
/// within 300 a second for a thousand processes.
const RATE: u32 = 250;

/// Waits that double up to a limit, with a random part. Made for thousands of processes that
/// lose the log at the same moment: without the random part they would all retry at the
/// same moment as well, again and again, and overload a log that takes several hundred calls
/// a second.
///
/// The first wait is drawn from the whole of its bound, since all processes start at the same time; later ones
/// from the upper half, which takes a third off the rate of calls on a log that is down.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    failures: u32,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new(0)
    }
}

impl Backoff {
    /// Waits for one of so many processes that make the same calls.
    ///
    /// ```
    /// use cassiarock_platform::follow::Backoff;
    /// assert!(Backoff::new(1000).record_failure(1.0) > Backoff::new(11).record_failure(1.0));
    /// ```
    #[must_use]
    pub fn new(processes: usize) -> Self {
        let processes = u32::try_from(processes).unwrap_or(u32::MAX);
        let even = Duration::from_secs(1).mul_f64(f64::from(processes) / f64::from(RATE));
        Self {
            first: even.clamp(FIRST, LONGEST),
            failures: 0,
        }
    }

    /// Records a failure and returns the wait before the next try, for a `draw` from 0 up to 1.
    ///
    /// ```
    /// use cassiarock_platform::follow::Backoff;
    /// let mut backoff = Backoff::default();
    /// let first = backoff.record_failure(0.5);
    /// assert!(backoff.record_failure(0.5) > first);
    /// ```
    pub fn record_failure(&mut self, draw: f64) -> Duration {
        let draw = draw.clamp(0.0, 1.0);
        let share = if self.failures == 0 {
            draw
        } else {
            0.5 + draw / 2.0
        };
        let bound = self.first.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        bound.min(LONGEST).mul_f64(share)
    }

    /// Resets the wait after a success.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// The same for another number of processes.
    #[must_use]
    pub fn with_processes(self, processes: usize) -> Self {
        Self {
            failures: self.failures,
            ..Self::new(processes)
        }
    }
}
