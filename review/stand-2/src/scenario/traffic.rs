//! Callers that submit jobs at a steady rate, beside what a scenario does.

use crate::http;
use crate::record::Record;
use crate::site::{HOST, PREFIX, Site};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

/// A kind of job and how many come in a second.
#[derive(Clone, Copy)]
pub struct Kind {
    pub per_second: f64,
    pub tasks: u32,
    pub run_ms: u64,
    pub cpu: u64,
    pub requirements: &'static str,
}

/// The traffic of the site file.
pub const USUAL: [Kind; 3] = [
    Kind {
        per_second: 34.4,
        tasks: 8,
        run_ms: 60,
        cpu: 6_200,
        requirements: "",
    },
    Kind {
        per_second: 6.25,
        tasks: 4,
        run_ms: 900,
        cpu: 6_200,
        requirements: "",
    },
    Kind {
        per_second: 100.0,
        tasks: 2,
        run_ms: 200,
        cpu: 6_200,
        requirements: "",
    },
];

/// Callers that submit jobs at a steady rate, whatever becomes of them.
pub struct Traffic {
    is_over: Arc<AtomicBool>,
    jobs: Arc<AtomicU64>,
    sources: Vec<JoinHandle<Vec<JoinHandle<()>>>>,
}

impl Traffic {
    pub fn start(site: &Site, kinds: &[Kind]) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let jobs = Arc::new(AtomicU64::new(0));
        let entries: Vec<SocketAddr> = site.entries.iter().map(|entry| entry.address()).collect();
        let start = |kind: Kind| {
            let (is_over, jobs) = (is_over.clone(), jobs.clone());
            let (record, demands, entries) =
                (site.record.clone(), site.demands.clone(), entries.clone());
            spawn(move || {
                let mut callers = Vec::new();
                let began = Instant::now();
                for number in 0.. {
                    let due = began + Duration::from_secs_f64(f64::from(number) / kind.per_second);
                    sleep(due.saturating_duration_since(Instant::now()));
                    if is_over.load(Ordering::Relaxed) {
                        break;
                    }
                    let job = jobs.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{:016x}", 0xb000_0000_0000_0000 + job);
                    demands
                        .lock()
                        .unwrap()
                        .insert(format!("{id}.0.0"), kind.cpu);
                    let (record, to) = (record.clone(), entries[job as usize % entries.len()]);
                    callers.push(spawn(move || submit(&record, to, &id, kind)));
                }
                callers
            })
        };
        let sources = kinds.iter().copied().map(start).collect();
        Self {
            is_over,
            jobs,
            sources,
        }
    }

    /// Waits for all answers and returns the number of jobs.
    pub fn stop(self) -> io::Result<u64> {
        self.is_over.store(true, Ordering::Relaxed);
        let failed = || io::Error::other("a caller panicked");
        for source in self.sources {
            for caller in source.join().map_err(|_| failed())? {
                caller.join().map_err(|_| failed())?;
            }
        }
        Ok(self.jobs.load(Ordering::Relaxed))
    }
}

/// Submits a job once; a caller without an answer does not come back.
fn submit(record: &Record, to: SocketAddr, id: &str, kind: Kind) {
    let Kind {
        tasks,
        run_ms,
        cpu,
        requirements,
        ..
    } = kind;
    // Fields whose value is 0 or empty are left out.
    let needs = match requirements {
        "" => format!("\"cpu\":{cpu},\"memMb\":64"),
        label => format!("\"requirements\":\"{label}\""),
    };
    let body = format!(
        "{{\"spec\":\"ms={run_ms}\",\"bestEffort\":true,\"phases\":[{{\"count\":{tasks},{needs},\"estimateMs\":{run_ms}}}]}}"
    );
    let path = format!("{PREFIX}{id}");
    record.say(format!("sent POST {path} to {to}: {body}"));
    let headers = [("host", HOST), ("deadline-ms", "5000"), ("request-id", id)];
    let answer = http::call(to, "POST", &path, &headers, &body, Duration::from_secs(5));
    record.say(format!("answer to POST {path}: {answer:?}"));
}
