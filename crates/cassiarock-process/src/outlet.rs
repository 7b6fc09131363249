//! Lines for standard output that never make their writer wait.

use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that may wait: some seconds of a busy process, in about 1 MB.
const LINES: usize = 4_096;

/// Beyond this many waiting lines only failures are taken.
const FULL: usize = LINES * 3 / 4;

/// Lines of one kind in a second; more are only counted. A busy entry decides on some 200
/// requests a second.
const KIND: u32 = 400;

/// How long lines are gathered for one write: a system call for each line would cost more
/// than the decision that it tells of. It is what a killed process may fail to tell.
const GATHER: Duration = Duration::from_millis(50);

/// The pause between two looks at what still waits when a process ends.
const DRAIN: Duration = Duration::from_millis(5);

/// The period over which lines of one kind are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Kinds that are counted apart; the program has some fifty.
const KINDS: usize = 256;

/// What was left out of one kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Omission {
    /// The kind.
    pub kind: String,
    /// How many lines.
    pub lines: u64,
}

#[derive(Debug)]
struct Period {
    since: Instant,
    seen: HashMap<String, (u32, u64)>,
}

/// The sending end; clones send to the same thread.
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
        let (lines, queue) = sync_channel(LINES);
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

    /// Queues a line of some kind. Answers whether it was queued: not if too much waits, or
    /// if there were too many of its kind within a second.
    pub fn push(&self, kind: &str, is_failure: bool, line: String) -> bool {
        let mut period = self.period.lock().unwrap_or_else(PoisonError::into_inner);
        if period.seen.len() >= KINDS && !period.seen.contains_key(kind) {
            period.seen.clear();
        }
        let waiting = self.waiting.load(Ordering::Relaxed);
        let entry = period.seen.entry(kind.to_owned()).or_default();
        entry.0 += 1;
        let has_room = waiting < if is_failure { LINES } else { FULL };
        if entry.0 <= KIND && has_room {
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

    /// Waits until all lines are written, at most for `limit`: a process that ends would
    /// otherwise take its last lines with it.
    pub fn drain(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while self.waiting.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            thread::sleep(DRAIN);
        }
    }

    /// What was left out in the last period, if that is over.
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

/// Writes until all senders are gone. A reader that has gone away ends it as well: the lines
/// then fill the queue and are dropped.
fn write(mut out: impl Write, queue: &Receiver<String>, waiting: &AtomicUsize) {
    let mut text = String::new();
    while let Ok(first) = queue.recv() {
        thread::sleep(GATHER);
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
