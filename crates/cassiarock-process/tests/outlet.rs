//! The writer of log lines.

use cassiarock_process::Outlet;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A writer that blocks until the test releases it.
struct BlockedWriter(Receiver<()>);

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // An error means that the test is over.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_outlet() -> (Outlet, Sender<()>) {
    let (go, wait) = channel();
    (Outlet::new(BlockedWriter(wait)), go)
}

// Guards against log lines that block requests: the log collector stopped reading, each request
// waited for its log line, and the process grew until it was killed.
#[test]
fn a_reader_that_stops_reading_delays_nobody_and_keeps_memory_bounded() {
    let (outlet, _go) = blocked_outlet();
    let began = Instant::now();
    let mut taken = 0;
    for number in 0..200_000 {
        let kind = format!("kind {}", number % 200);
        taken += usize::from(outlet.push(&kind, false, "x".repeat(200)));
    }
    assert!(
        began.elapsed() < Duration::from_secs(5),
        "{:?}",
        began.elapsed()
    );
    assert!(taken <= 4_096, "{taken} lines are kept");
}

#[test]
fn failures_are_taken_when_other_lines_are_left_out() {
    let (outlet, _go) = blocked_outlet();
    let mut number = 0;
    while outlet.push(&format!("kind {}", number % 50), false, "x".to_owned()) {
        number += 1;
    }
    assert!(outlet.push("a failure", true, "x".to_owned()));
}

#[test]
fn lines_of_one_kind_beyond_the_bound_are_counted() {
    let (outlet, _go) = blocked_outlet();
    let taken = (0..1_000)
        .filter(|_| outlet.push("placed", false, "x".to_owned()))
        .count();
    assert!(taken < 1_000);
    std::thread::sleep(Duration::from_millis(1_100));
    let omissions = outlet.omissions();
    assert_eq!(omissions.len(), 1);
    assert_eq!(omissions[0].kind, "placed");
    assert_eq!(omissions[0].lines, 1_000 - taken as u64);
    assert!(outlet.omissions().is_empty(), "told once");
}

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        kept.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_come_out_whole_and_in_order() {
    let kept = SharedBuffer::default();
    let outlet = Outlet::new(kept.clone());
    for number in 0..100 {
        assert!(outlet.push("kind", false, format!("line {number}")));
    }
    std::thread::sleep(Duration::from_millis(300));
    let written = kept.0.lock().unwrap_or_else(PoisonError::into_inner);
    let expected: String = (0..100).map(|number| format!("line {number}\n")).collect();
    assert_eq!(String::from_utf8_lossy(&written), expected);
}

// Guards against a lost last line: the process ended before its "stopped" line was written.
#[test]
fn the_last_lines_of_a_process_that_ends_are_written() {
    let kept = SharedBuffer::default();
    let outlet = Outlet::new(kept.clone());
    assert!(outlet.push("stopped", false, "stopped".to_owned()));
    outlet.drain(Duration::from_secs(5));
    let written = kept.0.lock().unwrap_or_else(PoisonError::into_inner);
    assert_eq!(String::from_utf8_lossy(&written), "stopped\n");
}

#[test]
fn a_process_that_ends_does_not_wait_for_a_reader_that_has_stopped() {
    let (outlet, _go) = blocked_outlet();
    assert!(outlet.push("stopped", false, "stopped".to_owned()));
    let began = Instant::now();
    outlet.drain(Duration::from_millis(200));
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "{:?}",
        began.elapsed()
    );
}
