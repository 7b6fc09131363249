//! Progress messages during long waits.

use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Minimum time between progress messages; a shorter wait prints none.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Prints on stderr, at most once a second, what the client is waiting for. Stdout is
/// reserved for results.
#[derive(Debug)]
pub struct Progress {
    started_at: Instant,
    last_report: Instant,
}

impl Progress {
    /// Starts the clock of a wait.
    pub fn new() -> Self {
        let now = Instant::now();
        Self {
            started_at: now,
            last_report: now,
        }
    }

    /// Prints the message, unless the previous one is less than a second old.
    pub fn report(&mut self, message: impl FnOnce() -> String) {
        if self.last_report.elapsed() < REPORT_INTERVAL {
            return;
        }
        self.last_report = Instant::now();
        eprintln!(
            "{:>4} s  {}",
            self.started_at.elapsed().as_secs(),
            message()
        );
    }
}

/// Awaits `work` and prints `step` every second until it is done.
pub async fn with_progress<T>(step: &str, work: impl Future<Output = T>) -> T {
    let mut progress = Progress::new();
    let mut work = pin!(work);
    loop {
        match timeout(REPORT_INTERVAL, &mut work).await {
            Ok(done) => return done,
            Err(_) => progress.report(|| step.to_owned()),
        }
    }
}
