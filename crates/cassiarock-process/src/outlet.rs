//! Writes log lines to standard output without ever blocking the caller.

use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Capacity of the queue: several seconds of a busy process, in about 1 MB.
const CAPACITY: usize = 4_096;

/// With this many lines queued, only failures are accepted.
const FAILURES_ONLY: usize = CAPACITY * 3 / 4;

/// Limit of lines of one kind per second; further lines are only counted. A busy entry decides
/// on about 200 requests a second.
const MAX_LINES_PER_KIND: u32 = 400;

/// How long lines are batched for one write: a system call for each line would cost more than
/// the decision that it reports. A killed process may lose the lines of this time.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// How often [`Outlet::drain`] checks whether lines are still queued.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The period over which lines of one kind are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Limit of kinds that are counted separately; the program has about fifty.
const MAX_KINDS: usize = 256;

/// The lines of one kind that were dropped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Omission {
    /// The kind.
    pub kind: String,
    /// The number of dropped lines.
    pub lines: u64,
}

#[derive(Debug)]
struct Period {
    since: Instant,
    seen: HashMap<String, (u32, u64)>,
}

/// The sender of lines to the writing thread; clones share the thread.
#[derive(Clone, Debug)]
pub struct Outlet {
    lines: SyncSender<String>,
    waiting: Arc<AtomicUsize>,
    period: Arc<Mutex<Period>>,
}

impl Outlet {
    /// Starts the thread that writes to `out`.
    ///
    /// ```
    /// let outlet = cassiarock_process::Outlet::new(std::io::sink());
    /// assert!(outlet.push("placed", false, "a line".to_owned()));
    /// ```
    #[must_use]
    pub fn new(out: impl Write + Send + 'static) -> Self {
        let (lines, queue) = sync_channel(CAPACITY);
        let waiting = Arc::new(AtomicUsize::new(0));
        let count = waiting.clone();
        thread::spawn(move || write(out, &queue, &count));
        Self {
            lines,
            waiting,
            period: Arc::new(Mutex::new(Period {
                since: Instant::now(),
                seen: HashMap::new(),
            })),
        }
    }

    /// Queues a line of some kind. Returns `false` if the line was dropped because the queue is
    /// too full or there were too many lines of its kind within a second.
    pub fn push(&self, kind: &str, is_failure: bool, line: String) -> bool {
        let mut period = self.period.lock().unwrap_or_else(PoisonError::into_inner);
        if period.seen.len() >= MAX_KINDS && !period.seen.contains_key(kind) {
            period.seen.clear();
        }
        let waiting = self.waiting.load(Ordering::Relaxed);
        let entry = period.seen.entry(kind.to_owned()).or_default();
        entry.0 += 1;
        let has_room = waiting < if is_failure { CAPACITY } else { FAILURES_ONLY };
        if entry.0 <= MAX_LINES_PER_KIND && has_room {
            self.waiting.fetch_add(1, Ordering::Relaxed);
            if self.lines.try_send(line).is_ok() {
                return true;
            }
            self.waiting.fetch_sub(1, Ordering::Relaxed);
        }
        entry.1 += 1;
        metrics::counter!("cassiarock_log_lines_dropped_total").increment(1);
        false
    }

    /// Waits until all lines are written, at most for `limit`, so that a process that ends does
    /// not lose its last lines.
    pub fn drain(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while self.waiting.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }

    /// The lines dropped in the last period, or nothing while the period lasts.
    #[must_use]
    pub fn omissions(&self) -> Vec<Omission> {
        let mut period = self.period.lock().unwrap_or_else(PoisonError::into_inner);
        if period.since.elapsed() < PERIOD {
            return Vec::new();
        }
        period.since = Instant::now();
        let seen = std::mem::take(&mut period.seen);
        let left_out = seen.into_iter().filter(|(_, (_, lines))| *lines > 0);
        left_out
            .map(|(kind, (_, lines))| Omission { kind, lines })
            .collect()
    }
}

/// Writes lines until all senders are dropped or a write fails because the reader is gone. After
/// a failed write, further lines are dropped.
fn write(mut out: impl Write, queue: &Receiver<String>, waiting: &AtomicUsize) {
    let mut text = String::new();
    while let Ok(first) = queue.recv() {
        thread::sleep(BATCH_INTERVAL);
        let mut count = 1;
        text.push_str(&first);
        text.push('\n');
        for line in queue.try_iter() {
            text.push_str(&line);
            text.push('\n');
            count += 1;
        }
        let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        waiting.fetch_sub(count, Ordering::Relaxed);
        text.clear();
        if written.is_err() {
            return;
        }
    }
}
